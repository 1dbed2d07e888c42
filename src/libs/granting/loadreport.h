#pragma once

#include <granting/servicekeycounts.h>

#include <vector>

namespace Granting {

/// What one VM tells the leader of the keys that its callers asked for.
struct LoadReport {
    Utils::VmId vm;
    std::vector<ServiceKeyCounts> services;

    bool operator==(const LoadReport&) const = default;
};

} // namespace Granting
