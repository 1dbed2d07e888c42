#pragma once

#include <logservice/vmentry.h>

#include <vector>

namespace Gateway {

/// VM list duty to control: the platform's list as it stands there.
struct VmsListed {
    std::vector<LogService::VmEntry> entries;
};

} // namespace Gateway
