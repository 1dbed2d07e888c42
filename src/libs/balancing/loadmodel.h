#pragma once

#include <balancing/responsesample.h>
#include <balancing/servicestats.h>
#include <balancing/upstreamload.h>
#include <utils/time.h>

#include <optional>

/// Estimates the load and speed of upstreams from their responses and failures.
namespace Balancing {

/// Time after which the weight of a reported load has halved. Requests take about as long, so most of those
/// that were reported have completed by then.
inline constexpr Utils::Duration reportedLoadHalfLife = std::chrono::milliseconds(400);
/// The same for the reported work factor, which changes several times a second.
inline constexpr Utils::Duration workFactorHalfLife = std::chrono::milliseconds(200);
/// Weight of a new sample in the exponential moving averages.
inline constexpr double sampleWeight = 0.2;
/// Number of consecutive failures after which an upstream is ejected.
inline constexpr unsigned failuresToEject = 2;
/// Duration of the first ejection; doubles with each further failure.
inline constexpr Utils::Duration minEjectionDuration = std::chrono::milliseconds(400);
inline constexpr Utils::Duration maxEjectionDuration = std::chrono::milliseconds(3200);

/// Records that a request was sent.
void recordRequestSent(UpstreamLoad& load, Utils::Instant now);

/// Records a complete response. Requests of different routes differ in cost, so the speed of an upstream is
/// measured relative to the mean latency of the route.
void recordResponse(
    UpstreamLoad& load, ServiceStats& stats, const ResponseSample& sample, Utils::Instant now);

/// The exponential moving average \a mean, updated with \a sample.
Utils::Duration updatedMean(Utils::Duration mean, Utils::Duration sample);

/// Records that the upstream rejected a request without running it.
void recordRejection(UpstreamLoad& load, ServiceStats& stats,
    const std::optional<Routing::ReportedLoad>& reported, Utils::Instant now);

/// Records the load that the upstream has reported without a request.
void recordProbedLoad(
    UpstreamLoad& load, ServiceStats& stats, const Routing::ReportedLoad& reported, Utils::Instant now);

/// Records a lost connection or a timeout.
void recordFailure(UpstreamLoad& load, Utils::Instant now);

/// Records that this VM abandoned a request. The estimated health and speed of the upstream do not change.
void recordAbandonedRequest(UpstreamLoad& load);

/// Estimated number of requests that run and wait at the upstream at \a now.
double estimateLoad(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now);

/// Expected time from sending one more request to its response, without the network delay.
/// \param baselineLatency latency of such a request at an upstream of average speed, without waiting.
/// \param coldStartFactor factor by which a cold start lengthens the latency.
Utils::Duration estimateLatency(const UpstreamLoad& load, const ServiceStats& stats,
    Utils::Duration baselineLatency, unsigned slots, double coldStartFactor, Utils::Instant now);

} // namespace Balancing
