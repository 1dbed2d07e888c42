#include <dispatch/servicetimes.h>

#include <dispatch/dispatchconstants.h>

#include <algorithm>

namespace Dispatch::Internal {

namespace {

constexpr std::int64_t maxHalvings = 16;

Utils::Duration aged(const ServiceTime& service, Utils::Instant now)
{
    const std::int64_t halvings = (now - service.learnedAt) / serviceTimeHalfLife;
    return service.mean / (1LL << std::clamp<std::int64_t>(halvings, 0, maxHalvings));
}

} // namespace

void learn(ServiceTime& service, Utils::Duration measured, Utils::Instant now)
{
    ++service.samples;
    service.learnedAt = now;
    if (service.samples == 1)
        service.mean = measured;
    else
        service.mean += (measured - service.mean) / serviceTimeWeight;
}

void learnAtLeast(ServiceTime& service, Utils::Duration measured, Utils::Instant now)
{
    if (service.samples == 0 || measured > service.mean)
        learn(service, measured, now);
}

Utils::Duration expectedService(const UpstreamState& upstream, std::size_t rank, Utils::Instant now)
{
    const ServiceTime& own = upstream.lanes.at(rank).service;
    if (own.samples > 0)
        return std::max(aged(own, now), Utils::Duration(1));
    Utils::Duration sum {};
    int measured = 0;
    for (const Lane& lane : upstream.lanes) {
        if (lane.service.samples == 0)
            continue;
        sum += aged(lane.service, now);
        ++measured;
    }
    return measured == 0 ? initialServiceTime : std::max(sum / measured, Utils::Duration(1));
}

} // namespace Dispatch::Internal
