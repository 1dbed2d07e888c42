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

Utils::Duration mixed(Utils::Duration mean, Utils::Duration sample)
{
    const double value = static_cast<double>(mean.count()) * (1 - sampleWeight)
        + static_cast<double>(sample.count()) * sampleWeight;
    return Utils::Duration(static_cast<std::int64_t>(value));
}

void noteAnswer(UpstreamLoad& load, ServiceStats& stats, const AnswerSample& sample, Utils::Instant now)
{
    Internal::settleOne(load, now);
    if (sample.told)
        Internal::noteTold(load, stats, *sample.told, now);
    load.failureShare += ((sample.good ? 0.0 : 1.0) - load.failureShare) * sampleWeight;
    if (!sample.good) {
        ++load.failuresInRow;
        return;
    }
    load.failuresInRow = 0;
    // Behind a queue the latency says little of the speed.
    const bool waited = sample.told && sample.told->waiting > 0;
    if (waited || !sample.usual || *sample.usual <= Utils::Duration::zero())
        return;
    const double ratio = std::clamp(std::chrono::duration<double>(sample.latency) / *sample.usual,
        Internal::leastSlowness, Internal::mostSlowness);
    load.slowness += (ratio - load.slowness) * sampleWeight;
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

Utils::Duration expectedLatency(const UpstreamLoad& load, const ServiceStats& stats, Utils::Duration usual,
    unsigned slots, double slowness, Utils::Instant now)
{
    const double factor = load.slowness * slowness;
    const double requests = estimatedLoad(load, stats, now);
    const double excess = std::max(0.0, requests - slots + 1);
    const double hidden = Internal::hiddenWait * std::min(requests, static_cast<double>(slots));
    const double waiting = static_cast<double>(stats.serviceTime.count()) * (excess + hidden) / slots;
    return Utils::Duration(
        static_cast<std::int64_t>(factor * (static_cast<double>(usual.count()) + waiting)));
}

} // namespace Balancing
