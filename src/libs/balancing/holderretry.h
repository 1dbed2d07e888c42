#pragma once

#include <routing/reportedload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// A rejection by the only upstream that can serve a request.
struct HolderRejection {
    /// The load that came with the rejection.
    std::optional<Routing::ReportedLoad> reportedLoad;
    /// Mean time for which a request occupies a slot there.
    Utils::Duration serviceTime {};
    /// Expected latency of the request without a queue.
    Utils::Duration unloadedLatency {};
    /// Until the response misses its target, or the deadline if the target has been missed.
    Utils::Duration timeLeft {};
    /// Requests of a more urgent priority have been rejected lately.
    bool hasMoreUrgentRejections = false;
    /// Whether more than half of the retry budget is left.
    bool hasAmpleBudget = true;
};

/// Whether the upstream is worth asking again at once.
///
/// Load pattern: for several seconds all holders of a service reject a part of their requests, whatever their
/// queue. One that reports room mostly takes the same request a moment later. A full one would reject it
/// again, and a retry budget that is short is left to urgent requests.
bool isHolderRetryWorthwhile(const HolderRejection& rejection);

} // namespace Balancing
