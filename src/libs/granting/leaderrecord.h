#pragma once

#include <routing/endpoint.h>
#include <utils/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Granting {

/// The current leader, as recorded in the store.
struct LeaderRecord {
    /// Empty when the leader has resigned.
    Utils::VmId vm;
    Utils::Incarnation incarnation = 0;
    /// Where the leader receives load reports.
    Routing::Endpoint loadReportEndpoint;
    /// The era of the store whose records show all assignments that were ever granted. Lower than the
    /// store's if the store returned from an older copy and grants of the lost time may still be in force.
    std::uint64_t settledEra = 0;
    /// Number of VMs, as far as the leader knows it.
    std::uint32_t vmCount = 0;
    /// Addresses of some VMs with current records; empty in a small fleet.
    std::vector<std::string> relays = {};

    bool operator==(const LeaderRecord&) const = default;
};

} // namespace Granting
