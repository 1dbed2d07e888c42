#include <balancing/loadmodel.h>

#include <algorithm>
#include <cmath>

namespace Balancing {

namespace Internal {

/// Part of a full queue's wait that one more request meets while slots seem free, because the load told is
/// old.
constexpr double hiddenWait = 0.3;

/// Bounds of one sample of slowness, and of the mean: single requests vary far more than upstreams do.
constexpr double leastSlowness = 0.4;
constexpr double mostSlowness = 8;

void settleOne(UpstreamLoad& load, Utils::Instant now)
{
    if (load.outstanding > 0)
        --load.outstanding;
    load.lastResponseAt = now;
    load.awaitingResponseSince = load.outstanding > 0 ? std::optional<Utils::Instant>(now) : std::nullopt;
}

void noteTold(UpstreamLoad& load, ServiceStats& stats, const Routing::ReportedLoad& told, Utils::Instant now)
{
    const double total = static_cast<double>(told.running) + told.waiting;
    load.otherVmRequests = std::max(0.0, total - load.outstanding);
    load.loadReportedAt = now;
    stats.meanOtherVmRequests += (load.otherVmRequests - stats.meanOtherVmRequests) * sampleWeight / 2;
}

void avoid(UpstreamLoad& load, Utils::Instant now)
{
    const unsigned doublings = std::min(load.consecutiveFailures - failuresToEject, 3U);
    load.ejectedUntil = now + std::min(minEjectionDuration * (1U << doublings), maxEjectionDuration);
}

} // namespace Internal

void recordRequestSent(UpstreamLoad& load, Utils::Instant now)
{
    ++load.outstanding;
    if (!load.awaitingResponseSince)
        load.awaitingResponseSince = now;
}

Utils::Duration updatedMean(Utils::Duration mean, Utils::Duration sample)
{
    const double value = static_cast<double>(mean.count()) * (1 - sampleWeight)
        + static_cast<double>(sample.count()) * sampleWeight;
    return Utils::Duration(static_cast<std::int64_t>(value));
}

void recordResponse(UpstreamLoad& load, ServiceStats& stats, const ResponseSample& sample, Utils::Instant now)
{
    Internal::settleOne(load, now);
    if (sample.reportedLoad)
        Internal::noteTold(load, stats, *sample.reportedLoad, now);
    load.failureRate += ((sample.succeeded ? 0.0 : 1.0) - load.failureRate) * sampleWeight;
    if (!sample.succeeded) {
        ++load.consecutiveFailures;
        return;
    }
    load.consecutiveFailures = 0;
    // Behind a queue the latency says little of the speed.
    const bool waited = sample.reportedLoad && sample.reportedLoad->waiting > 0;
    if (waited || !sample.baselineLatency || *sample.baselineLatency <= Utils::Duration::zero())
        return;
    const double ratio = std::clamp(std::chrono::duration<double>(sample.latency) / *sample.baselineLatency,
        Internal::leastSlowness, Internal::mostSlowness);
    load.slowdownFactor += (ratio - load.slowdownFactor) * sampleWeight;
}

void recordRejection(UpstreamLoad& load, ServiceStats& stats,
    const std::optional<Routing::ReportedLoad>& told, Utils::Instant now)
{
    Internal::settleOne(load, now);
    if (told)
        Internal::noteTold(load, stats, *told, now);
    load.failureRate += (1.0 - load.failureRate) * sampleWeight;
    load.ejectedUntil = std::max(load.ejectedUntil, now + stats.serviceTime / 2);
}

void recordFailure(UpstreamLoad& load, Utils::Instant now)
{
    const Utils::Instant answeredAt = load.lastResponseAt;
    Internal::settleOne(load, now);
    load.lastResponseAt = answeredAt;
    load.failureRate += (1.0 - load.failureRate) * sampleWeight;
    ++load.consecutiveFailures;
    if (load.consecutiveFailures >= failuresToEject)
        Internal::avoid(load, now);
}

void recordAbandonedRequest(UpstreamLoad& load)
{
    if (load.outstanding > 0)
        --load.outstanding;
    if (load.outstanding == 0)
        load.awaitingResponseSince.reset();
}

double estimateLoad(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now)
{
    const double halfLives = std::chrono::duration<double>(now - load.loadReportedAt) / reportedLoadHalfLife;
    const double weight = load.loadReportedAt == Utils::Instant {} ? 0 : std::exp2(-halfLives);
    return load.outstanding + load.otherVmRequests * weight + stats.meanOtherVmRequests * (1 - weight);
}

Utils::Duration estimateLatency(const UpstreamLoad& load, const ServiceStats& stats, Utils::Duration usual,
    unsigned slots, double slowness, Utils::Instant now)
{
    const double factor = load.slowdownFactor * slowness;
    const double requests = estimateLoad(load, stats, now);
    const double excess = std::max(0.0, requests - slots + 1);
    const double hidden = Internal::hiddenWait * std::min(requests, static_cast<double>(slots));
    const double waiting = static_cast<double>(stats.serviceTime.count()) * (excess + hidden) / slots;
    return Utils::Duration(
        static_cast<std::int64_t>(factor * (static_cast<double>(usual.count()) + waiting)));
}

} // namespace Balancing
