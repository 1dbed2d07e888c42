#pragma once

#include <platform/vmentry.h>

#include <vector>

namespace Gateway {

/// VM list duty to control: the platform's list as it stands there.
struct VmsListed {
    std::vector<Platform::VmEntry> entries;
};

} // namespace Gateway
