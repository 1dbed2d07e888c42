#pragma once

#include <balancing/roomshare.h>
#include <routing/reportedload.h>
#include <utils/time.h>

#include <optional>

/// How many requests of a service one VM may have at upstreams.
///
/// Load pattern: dozens of VMs send into the same slots, and each sees an upstream's load only with a
/// response. In a burst of some seconds the queues of the upstreams fill, where requests can't be reordered
/// or withdrawn.
namespace Balancing {

/// Time for which totals of the leader are believed.
inline constexpr Utils::Duration maxRoomShareAge = std::chrono::milliseconds(1500);

/// A limit that follows the queues that upstreams report.
struct ConcurrencyLimit {
    /// Zero until the first request.
    double requests = 0;
    /// Part of the slots that this VM would have if all VMs had the same.
    double evenShare = 1;
    /// Requests at upstreams now.
    unsigned inUse = 0;
};

/// Sets the slots that \a vmCount VMs share.
void updateEvenShare(ConcurrencyLimit& limit, double slots, double vmCount);

/// Adjusts the limit to the load that an upstream reported with a response.
void recordReport(ConcurrencyLimit& limit, const Routing::ReportedLoad& load);

/// Shrinks the limit because an upstream rejected a request or did not respond.
void recordLackOfRoom(ConcurrencyLimit& limit);

/// Number of requests that may be at upstreams; at least 1.
unsigned maxRequests(
    const ConcurrencyLimit& limit, const std::optional<RoomShare>& share, Utils::Instant now);

} // namespace Balancing
