#include <dispatch/capacity.h>

#include <dispatch/dispatchconstants.h>
#include <dispatch/servicetimes.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Dispatch::Internal {

namespace {

Utils::Duration scaled(Utils::Duration duration, double factor)
{
    return Utils::Duration(
        static_cast<std::int64_t>(std::llround(static_cast<double>(duration.count()) * factor)));
}

void accrueFloor(
    UpstreamState& upstream, std::size_t rank, double floorSlots, Utils::Duration passed, Utils::Instant now)
{
    Lane& lane = upstream.lanes[rank];
    const bool active = lane.size > 0 || lane.running > 0;
    if (!active) {
        lane.floorCredit = std::min(lane.floorCredit + scaled(passed, floorSlots), Utils::Duration(0));
        return;
    }
    const Utils::Duration service = expectedService(upstream, rank, now);
    const Utils::Duration credit = lane.floorCredit + scaled(passed, floorSlots - lane.running);
    lane.floorCredit = std::clamp(credit, -2 * service, service);
}

/// Part of the slots, 0..1, that the rank can count on.
double capacityShare(const DispatchState& state, const UpstreamState& upstream, std::size_t rank)
{
    double share = 1;
    for (std::size_t other = 0; other < upstream.lanes.size(); ++other) {
        const Lane& lane = upstream.lanes[other];
        if (other < rank)
            share -= lane.busyShare;
        else if (other > rank && lane.size > 0)
            share -= state.ranks[other].floorShare;
    }
    return std::max({ share, state.ranks[rank].floorShare, minCapacityShare });
}

Utils::Duration longestComeBack(const DispatchState& state, std::size_t rank)
{
    const Utils::Duration longest = state.options.caps.maxRetryAfter;
    const Utils::Duration limit = state.ranks[rank].defaultTimeout;
    return limit.count() == 0 ? longest : std::min(longest, maxComeBackLimits * limit);
}

double slotsOf(const UpstreamState& upstream)
{
    return static_cast<double>(std::max<std::size_t>(slotLimit(upstream), 1));
}

} // namespace

std::size_t slotLimit(const UpstreamState& upstream)
{
    if (upstream.warmupsLeft > 0)
        return 1;
    const std::size_t slots = std::min(upstream.declared.slots, upstream.declared.connections);
    return std::min(slots, upstream.shedLimit.value_or(slots));
}

std::size_t slotsTaken(const UpstreamState& upstream)
{
    return upstream.running.size() + upstream.abandoned.size();
}

bool isUsable(const DispatchState& state, const UpstreamState& upstream, Utils::Instant now)
{
    if (!upstream.present)
        return false;
    switch (upstream.condition) {
    case UpstreamCondition::Usable:
    case UpstreamCondition::Cold:
    case UpstreamCondition::Shedding:
        return true;
    case UpstreamCondition::Leaving:
        return now < upstream.conditionSince + state.options.caps.leavingGrace;
    case UpstreamCondition::Draining:
    case UpstreamCondition::Unreachable:
        return false;
    }
    return false;
}

void accrue(const DispatchState& state, UpstreamState& upstream, Utils::Instant now)
{
    const Utils::Duration passed = std::max(now - upstream.accruedAt, Utils::Duration(0));
    upstream.accruedAt = std::max(upstream.accruedAt, now);
    if (passed.count() == 0)
        return;
    const double slots = slotsOf(upstream);
    const double weight = std::min(
        static_cast<double>(passed.count()) / static_cast<double>(busyShareTimeConstant.count()), 1.0);
    for (std::size_t rank = 0; rank < upstream.lanes.size(); ++rank) {
        Lane& lane = upstream.lanes[rank];
        accrueFloor(upstream, rank, state.ranks[rank].floorShare * slots, passed, now);
        lane.busyShare += (lane.running / slots - lane.busyShare) * weight;
    }
}

std::size_t aheadOf(const Lane& lane, const std::string& caller)
{
    const std::map<std::string, CallerQueue>::const_iterator found = lane.callers.find(caller);
    const std::size_t own = found == lane.callers.end() ? 0 : found->second.works.size();
    const std::size_t others = lane.turns.size() - (own > 0 ? 1 : 0);
    return std::min(lane.size, own + (own + 1) * others);
}

Utils::Duration expectedWait(const DispatchState& state, const UpstreamState& upstream, std::size_t rank,
    std::size_t ahead, Utils::Instant now)
{
    const double slots = slotsOf(upstream);
    const Utils::Duration own = ahead * expectedService(upstream, rank, now);
    Utils::Duration urgent {};
    Utils::Duration running {};
    for (std::size_t other = 0; other < upstream.lanes.size(); ++other) {
        const Lane& lane = upstream.lanes[other];
        if (lane.size == 0 && lane.running == 0)
            continue;
        const Utils::Duration service = expectedService(upstream, other, now);
        if (other < rank)
            urgent += lane.size * service;
        running += lane.running * service;
    }
    Utils::Duration wait = scaled(own + urgent, 1 / (slots * capacityShare(state, upstream, rank)));
    const double floorShare = state.ranks[rank].floorShare;
    if (floorShare > 0)
        wait = std::min(wait, scaled(own, 1 / (slots * floorShare)));
    if (slotsTaken(upstream) >= slotLimit(upstream))
        wait += scaled(running, 1 / (2 * slots));
    return wait + std::max(upstream.pausedUntil - now, Utils::Duration(0));
}

Utils::Duration admissionBound(const DispatchState& state, const UpstreamState& upstream, std::size_t rank,
    const Requests::Work& work, Utils::Instant now)
{
    const Utils::Duration calm = (work.deadline - now) / admissionDivisor;
    const Utils::Duration target = state.ranks[rank].target;
    const bool isOverloaded = now < upstream.lanes[rank].overloadedUntil;
    if (!isOverloaded || target.count() == 0)
        return calm;
    const Utils::Duration service = expectedService(upstream, rank, now);
    const double rate = slotsOf(upstream) * capacityShare(state, upstream, rank);
    const Utils::Duration least = service + scaled(service, minQueuedTurns / rate);
    return std::min(calm, std::max(scaled(target, overloadTargetShare), least));
}

Utils::Duration comeBack(const DispatchState& state, UpstreamState& upstream, std::size_t rank,
    Requests::WorkId work, Utils::Instant now)
{
    Lane& lane = upstream.lanes[rank];
    const double rate = slotsOf(upstream) * capacityShare(state, upstream, rank);
    const Utils::Duration step = scaled(expectedService(upstream, rank, now), 1 / rate);
    const Utils::Instant backlogEnd = now + expectedWait(state, upstream, rank, lane.size, now);
    const Utils::Instant promised = now < lane.overloadedUntil ? lane.nextReturn + step : now;
    const Utils::Instant latest = now + longestComeBack(state, rank);
    lane.nextReturn = std::min(std::max(promised, backlogEnd), latest);
    lane.overloadedUntil = now + overloadTargets * state.ranks[rank].target;
    return spread(std::max(lane.nextReturn - now, minRetryAfter), work);
}

Utils::Duration spread(Utils::Duration wait, Requests::WorkId work)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
    constexpr unsigned shift = 56;
    const std::int64_t part = static_cast<std::int64_t>((work.value * multiplier) >> shift);
    return wait + wait * part / (4 << 8);
}

} // namespace Dispatch::Internal
