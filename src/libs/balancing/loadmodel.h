#pragma once

#include <balancing/responsesample.h>
#include <balancing/servicestats.h>
#include <balancing/upstreamload.h>
#include <utils/time.h>

#include <optional>

/// How answers and failures change what is believed of an upstream.
namespace Balancing {

/// A told load counts half after this long: requests last about as long, so most of what was told has ended.
inline constexpr Utils::Duration reportedLoadHalfLife = std::chrono::milliseconds(400);
/// Weight of a new sample in the moving means.
inline constexpr double sampleWeight = 0.2;
/// An upstream with this many failures in a row is avoided.
inline constexpr unsigned failuresToEject = 2;
/// First avoidance; doubles with each further failure.
inline constexpr Utils::Duration minEjectionDuration = std::chrono::milliseconds(400);
inline constexpr Utils::Duration maxEjectionDuration = std::chrono::milliseconds(3200);

/// A request was sent.
void recordRequestSent(UpstreamLoad& load, Utils::Instant now);

/// A whole answer came. Routes differ in work, so an upstream's speed is taken relative to the route's usual
/// time.
void recordResponse(
    UpstreamLoad& load, ServiceStats& stats, const ResponseSample& sample, Utils::Instant now);

/// \a mean after one more \a sample.
Utils::Duration updatedMean(Utils::Duration mean, Utils::Duration sample);

/// The upstream refused the request without running it.
void recordRejection(UpstreamLoad& load, ServiceStats& stats,
    const std::optional<Routing::ReportedLoad>& told, Utils::Instant now);

/// The connection broke or the time for an answer was up.
void recordFailure(UpstreamLoad& load, Utils::Instant now);

/// The request was given up by this VM's side; says nothing of the upstream.
void recordAbandonedRequest(UpstreamLoad& load);

/// Requests running and waiting at the upstream, as far as can be known at \a now.
double estimateLoad(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now);

/// Time from sending to the answer for one more request of \a usual time, without the network.
/// \param slowness by which a cold start lengthens it.
Utils::Duration estimateLatency(const UpstreamLoad& load, const ServiceStats& stats, Utils::Duration usual,
    unsigned slots, double slowness, Utils::Instant now);

} // namespace Balancing
