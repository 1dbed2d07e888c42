#pragma once

#include <granting/servicekeycounts.h>

#include <vector>

namespace Granting {

/// Report of one VM to the leader on the keys that its callers requested.
struct LoadReport {
    Utils::VmId vm;
    std::vector<ServiceKeyCounts> services;

    bool operator==(const LoadReport&) const = default;
};

} // namespace Granting
