#pragma once

#include <granting/servicekeys.h>

#include <vector>

namespace Granting {

/// What one VM tells the leader of the keys that its callers asked for.
struct LoadReport {
    Utils::VmId vm;
    std::vector<ServiceKeys> services;

    bool operator==(const LoadReport&) const = default;
};

} // namespace Granting
