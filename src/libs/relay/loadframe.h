#pragma once

#include <relay/leavingnotice.h>
#include <relay/limitnotice.h>

#include <optional>
#include <string>
#include <vector>

namespace Relay {

/// Reports which keys the callers of a VM requested.
struct LoadFrame {
    /// An encoded Granting::LoadReport.
    std::string report;
    /// Limits that the VM has learned of from upstreams since its last report.
    std::vector<LimitNotice> limits;
    /// Addresses of the VMs that receive records through the sender; absent if they have not changed.
    std::optional<std::vector<std::string>> members;
    /// Upstreams of which the VM has learned since its last report that they are leaving.
    std::vector<LeavingNotice> leaving = {};

    bool operator==(const LoadFrame&) const = default;
};

} // namespace Relay
