#include <balancing/loadmodel.h>

#include <algorithm>
#include <cmath>

namespace Balancing {

namespace Internal {

/// Fraction of the waiting time at a full upstream that a request is expected to wait although slots seem
/// free, because the reported load is out of date.
constexpr double staleLoadWaitFraction = 0.3;

/// Bounds of one sample of the slowdown factor, and so of its mean. The latency of single requests varies far
/// more than the speed of upstreams.
constexpr double minSlowdownFactor = 0.4;
constexpr double maxSlowdownFactor = 8;

void completeRequest(UpstreamLoad& load, Utils::Instant now)
{
    if (load.outstanding > 0)
        --load.outstanding;
    load.lastResponseAt = now;
    load.awaitingResponseSince = load.outstanding > 0 ? std::optional<Utils::Instant>(now) : std::nullopt;
}

void recordWorkFactor(UpstreamLoad& load, double workFactor)
{
    load.workFactor = workFactor;
    load.usualWorkFactor += (workFactor - load.usualWorkFactor) * sampleWeight;
}

void recordReportedLoad(
    UpstreamLoad& load, ServiceStats& stats, const Routing::ReportedLoad& reported, Utils::Instant now)
{
    const double total = static_cast<double>(reported.running) + reported.waiting;
    load.otherVmRequests = std::max(0.0, total - load.outstanding);
    load.loadReportedAt = now;
    if (reported.workFactor)
        recordWorkFactor(load, *reported.workFactor);
    stats.meanOtherVmRequests += (load.otherVmRequests - stats.meanOtherVmRequests) * sampleWeight / 2;
}

/// The work factor that the upstream has reported, closer to its usual one the older the report is.
double estimateWorkFactor(const UpstreamLoad& load, Utils::Instant now)
{
    const double halfLives = std::chrono::duration<double>(now - load.loadReportedAt) / workFactorHalfLife;
    return load.usualWorkFactor + (load.workFactor - load.usualWorkFactor) * std::exp2(-halfLives);
}

void eject(UpstreamLoad& load, Utils::Instant now)
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
    Internal::completeRequest(load, now);
    if (sample.reportedLoad)
        Internal::recordReportedLoad(load, stats, *sample.reportedLoad, now);
    load.failureRate += ((sample.succeeded ? 0.0 : 1.0) - load.failureRate) * sampleWeight;
    if (!sample.succeeded) {
        ++load.consecutiveFailures;
        return;
    }
    load.consecutiveFailures = 0;
    // The latency of a request that waited in a queue says little about the speed of the upstream.
    const bool wasQueued = sample.reportedLoad && sample.reportedLoad->waiting > 0;
    if (wasQueued || !sample.baselineLatency || *sample.baselineLatency <= Utils::Duration::zero())
        return;
    // What the reported work factor explains is no property of the upstream.
    const double workFactor = sample.reportedLoad ? sample.reportedLoad->workFactor.value_or(1) : 1;
    const double ratio
        = std::clamp(std::chrono::duration<double>(sample.latency) / *sample.baselineLatency / workFactor,
            Internal::minSlowdownFactor, Internal::maxSlowdownFactor);
    load.slowdownFactor += (ratio - load.slowdownFactor) * sampleWeight;
}

void recordRejection(UpstreamLoad& load, ServiceStats& stats,
    const std::optional<Routing::ReportedLoad>& reported, Utils::Instant now)
{
    Internal::completeRequest(load, now);
    if (reported)
        Internal::recordReportedLoad(load, stats, *reported, now);
    load.failureRate += (1.0 - load.failureRate) * sampleWeight;
    load.ejectedUntil = std::max(load.ejectedUntil, now + stats.serviceTime / 2);
}

void recordFailure(UpstreamLoad& load, Utils::Instant now)
{
    const Utils::Instant previousResponseAt = load.lastResponseAt;
    Internal::completeRequest(load, now);
    load.lastResponseAt = previousResponseAt;
    load.failureRate += (1.0 - load.failureRate) * sampleWeight;
    ++load.consecutiveFailures;
    if (load.consecutiveFailures >= failuresToEject)
        Internal::eject(load, now);
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

Utils::Duration estimateLatency(const UpstreamLoad& load, const ServiceStats& stats,
    Utils::Duration baselineLatency, unsigned slots, double coldStartFactor, Utils::Instant now)
{
    const double factor = load.slowdownFactor * coldStartFactor * Internal::estimateWorkFactor(load, now);
    const double requests = estimateLoad(load, stats, now);
    const double queuedRequests = std::max(0.0, requests - slots + 1);
    const double hiddenRequests
        = Internal::staleLoadWaitFraction * std::min(requests, static_cast<double>(slots));
    const double waitingTime
        = static_cast<double>(stats.serviceTime.count()) * (queuedRequests + hiddenRequests) / slots;
    return Utils::Duration(
        static_cast<std::int64_t>(factor * (static_cast<double>(baselineLatency.count()) + waitingTime)));
}

} // namespace Balancing
