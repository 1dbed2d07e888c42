#pragma once

#include <routing/reportedload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// What this VM believes of one upstream's load, speed and soundness.
struct UpstreamLoad {
    /// Requests of this VM that the upstream has and has not answered.
    unsigned outstanding = 0;
    /// Requests of other VMs there, by the last load that it told.
    double otherVmRequests = 0;
    Utils::Instant loadReportedAt {};
    /// How many times longer it takes for a request than upstreams of its service usually do.
    double slowdownFactor = 1;
    /// Failures since the last good answer.
    unsigned consecutiveFailures = 0;
    /// Not chosen before this time while others can be.
    Utils::Instant ejectedUntil {};
    /// Share of its recent answers that were failures, 0..1.
    double failureRate = 0;
    /// When it last answered anything.
    Utils::Instant lastResponseAt {};
    /// When the oldest request without any answer since was sent; nothing while none waits.
    std::optional<Utils::Instant> awaitingResponseSince;
};

} // namespace Balancing
