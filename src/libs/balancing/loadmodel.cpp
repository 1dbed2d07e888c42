#include <balancing/loadmodel.h>

#include <algorithm>
#include <cmath>

namespace Balancing {

namespace Internal {

/// Part of a full queue's wait that one more request meets while slots seem free, because the load told is
/// old.
constexpr double hiddenWait = 0.3;

Utils::Duration mix(Utils::Duration mean, Utils::Duration sample)
{
    const double mixed = static_cast<double>(mean.count()) * (1 - sampleWeight)
        + static_cast<double>(sample.count()) * sampleWeight;
    return Utils::Duration(static_cast<std::int64_t>(mixed));
}

void settleOne(UpstreamLoad& load, Utils::Instant now)
{
    if (load.outstanding > 0)
        --load.outstanding;
    load.answeredAt = now;
    load.silentSince = load.outstanding > 0 ? std::optional<Utils::Instant>(now) : std::nullopt;
}

void noteTold(UpstreamLoad& load, ServiceStats& stats, const Routing::ToldLoad& told, Utils::Instant now)
{
    const double total = static_cast<double>(told.running) + told.waiting;
    load.othersWhenTold = std::max(0.0, total - load.outstanding);
    load.toldAt = now;
    stats.othersMean += (load.othersWhenTold - stats.othersMean) * sampleWeight / 2;
}

void avoid(UpstreamLoad& load, Utils::Instant now)
{
    const unsigned doublings = std::min(load.failuresInRow - failuresToAvoid, 3U);
    load.avoidUntil = now + std::min(shortestAvoidance * (1U << doublings), longestAvoidance);
}

} // namespace Internal

void noteSent(UpstreamLoad& load, Utils::Instant now)
{
    ++load.outstanding;
    if (!load.silentSince)
        load.silentSince = now;
}

void noteAnswer(UpstreamLoad& load, ServiceStats& stats, Utils::Duration latency,
    const std::optional<Routing::ToldLoad>& told, bool good, Utils::Instant now)
{
    Internal::settleOne(load, now);
    if (told)
        Internal::noteTold(load, stats, *told, now);
    load.failureShare += ((good ? 0.0 : 1.0) - load.failureShare) * sampleWeight;
    if (!good) {
        ++load.failuresInRow;
        return;
    }
    load.failuresInRow = 0;
    const bool waited = told && told->waiting > 0;
    if (waited && load.serviceTime && latency > *load.serviceTime)
        return;
    load.serviceTime = load.serviceTime ? Internal::mix(*load.serviceTime, latency) : latency;
    stats.serviceTime = Internal::mix(stats.serviceTime, latency);
}

void noteRefusal(
    UpstreamLoad& load, ServiceStats& stats, const std::optional<Routing::ToldLoad>& told, Utils::Instant now)
{
    Internal::settleOne(load, now);
    if (told)
        Internal::noteTold(load, stats, *told, now);
    load.failureShare += (1.0 - load.failureShare) * sampleWeight;
    load.avoidUntil = std::max(load.avoidUntil, now + stats.serviceTime / 2);
}

void noteFailure(UpstreamLoad& load, Utils::Instant now)
{
    const Utils::Instant answeredAt = load.answeredAt;
    Internal::settleOne(load, now);
    load.answeredAt = answeredAt;
    load.failureShare += (1.0 - load.failureShare) * sampleWeight;
    ++load.failuresInRow;
    if (load.failuresInRow >= failuresToAvoid)
        Internal::avoid(load, now);
}

void noteAbandoned(UpstreamLoad& load)
{
    if (load.outstanding > 0)
        --load.outstanding;
    if (load.outstanding == 0)
        load.silentSince.reset();
}

double estimatedLoad(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now)
{
    const double halfLives = std::chrono::duration<double>(now - load.toldAt) / toldHalfLife;
    const double weight = load.toldAt == Utils::Instant {} ? 0 : std::exp2(-halfLives);
    return load.outstanding + load.othersWhenTold * weight + stats.othersMean * (1 - weight);
}

Utils::Duration expectedLatency(
    const UpstreamLoad& load, const ServiceStats& stats, unsigned slots, double slowness, Utils::Instant now)
{
    const double service
        = static_cast<double>(load.serviceTime.value_or(stats.serviceTime).count()) * slowness;
    const double requests = estimatedLoad(load, stats, now);
    const double excess = std::max(0.0, requests - slots + 1);
    const double hidden = Internal::hiddenWait * std::min(requests, static_cast<double>(slots));
    return Utils::Duration(static_cast<std::int64_t>(service * (1 + (excess + hidden) / slots)));
}

} // namespace Balancing
