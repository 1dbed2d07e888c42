#pragma once

#include <routing/reportedload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// Estimate of this VM for the load, speed and health of one upstream.
struct UpstreamLoad {
    /// Requests of this VM that are in flight at the upstream.
    unsigned outstanding = 0;
    /// Requests of other VMs at the upstream, according to its last reported load.
    double otherVmRequests = 0;
    Utils::Instant loadReportedAt {};
    /// How much longer work took there than usual at that time, as a factor.
    double workFactor = 1;
    /// Moving average of the reported work factors.
    double usualWorkFactor = 1;
    /// Latency relative to the average upstream of the service; above 1 if this one is slower.
    double slowdownFactor = 1;
    /// Failures since the last successful response.
    unsigned consecutiveFailures = 0;
    /// Until this time the upstream is chosen only if there is no other.
    Utils::Instant ejectedUntil {};
    /// Moving average of the fraction of requests that failed, 0..1.
    double failureRate = 0;
    /// When the latest of the requests was sent that the upstream has answered.
    Utils::Instant lastAnsweredSentAt {};
    /// Until this time its queue is believed full.
    Utils::Instant fullUntil {};
    /// Time of the last response of any kind.
    Utils::Instant lastResponseAt {};
    /// Start of the current period without a response while requests are outstanding; empty if none are.
    std::optional<Utils::Instant> awaitingResponseSince;
};

} // namespace Balancing
