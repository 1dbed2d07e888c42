#pragma once

#include <relay/limitnotice.h>

#include <string>
#include <vector>

namespace Relay {

/// Reports which keys the callers of a VM requested.
struct LoadFrame {
    /// An encoded Granting::LoadReport.
    std::string report;
    /// Limits that the VM has learned of from upstreams since its last report.
    std::vector<LimitNotice> limits;

    bool operator==(const LoadFrame&) const = default;
};

} // namespace Relay
