#include <dispatch/admission.h>

#include <dispatch/capacity.h>
#include <dispatch/dispatchconstants.h>
#include <dispatch/lanes.h>
#include <dispatch/memory.h>
#include <dispatch/poison.h>
#include <dispatch/queueing.h>
#include <dispatch/servicetimes.h>

#include <algorithm>

namespace Dispatch::Internal {

namespace {

using Requests::Reason;
using Requests::Work;
using Requests::WorkId;

Action answer(const Work& work, Reason reason, Utils::Duration retryAfter = {})
{
    return AnswerWork { work.id, reason, retryAfter };
}

/// What a non-idempotent work is told because of what is, or can't be, remembered.
std::optional<Action> refuseByMemory(const DispatchState& state, const Work& work, Utils::Instant now)
{
    if (work.requestId.value.empty())
        return answer(work, Reason::MissingIdempotencyKey);
    std::optional<Action> repeat = answerRepeat(state.memory, work);
    if (repeat.has_value())
        return repeat;
    const Utils::Instant complete
        = state.shards.at(work.shard).rememberedSince + policyOf(state, work).window;
    if (work.attempt > 1 && now < complete)
        return answer(work, Reason::MemoryGap, complete - now);
    if (state.memory.requests.size() < state.options.caps.rememberedRequests)
        return std::nullopt;
    const Utils::Instant room
        = state.memory.expiries.empty() ? now + unservedRetryAfter : state.memory.expiries.begin()->first;
    return answer(work, Reason::MemoryFull, spread(std::max(room - now, minRetryAfter), work.id));
}

bool isIdle(const UpstreamState& upstream, std::size_t rank)
{
    for (std::size_t other = 0; other <= rank; ++other) {
        if (upstream.lanes[other].size > 0)
            return false;
    }
    return !upstream.isolating && slotsTaken(upstream) < slotLimit(upstream);
}

std::optional<Action> refuseByQueue(
    DispatchState& state, UpstreamState& upstream, const Work& work, std::size_t rank, Utils::Instant now)
{
    accrue(state, upstream, now);
    const Lane& lane = upstream.lanes.at(rank);
    const std::size_t ahead = aheadOf(lane, work.caller);
    if (ahead >= state.options.caps.queuedPerRank)
        return answer(work, Reason::QueueFull, comeBack(state, upstream, rank, work.id, now));
    const Utils::Duration wait = expectedWait(state, upstream, rank, ahead, now);
    const Utils::Duration service = expectedService(upstream, rank, now);
    if (wait + service <= admissionBound(state, upstream, rank, work, now))
        return std::nullopt;
    if (isIdle(upstream, rank) && upstream.pausedUntil <= now)
        return std::nullopt;
    return answer(work, Reason::DeadlineTooShort, comeBack(state, upstream, rank, work.id, now));
}

bool isOverfull(
    const DispatchState& state, const UpstreamState& upstream, const WorkEntry& last, Utils::Instant now)
{
    const Lane& lane = upstream.lanes.at(last.rank);
    if (lane.size > state.options.caps.queuedPerRank)
        return true;
    const Utils::Duration wait = expectedWait(state, upstream, last.rank, lane.size - 1, now);
    return wait > admissionBound(state, upstream, last.rank, last.work, now);
}

} // namespace

std::optional<Action> refuse(DispatchState& state, const Work& work, Utils::Instant now)
{
    if (!work.idempotent) {
        std::optional<Action> repeat = refuseByMemory(state, work, now);
        if (repeat.has_value())
            return repeat;
    }
    if (state.draining)
        return answer(work, Reason::ShuttingDown, spread(minRetryAfter, work.id));
    const std::map<Utils::RankId, std::size_t>::const_iterator rank = state.rankIndex.find(work.rank);
    if (rank == state.rankIndex.end())
        return answer(work, Reason::RankNotAllowed);
    const Utils::Duration held = heldFor(state.poison, work, now);
    if (held.count() > 0)
        return answer(work, Reason::PoisonHeld, held);
    if (work.deadline <= now)
        return answer(work, Reason::DeadlinePassed, minRetryAfter);
    UpstreamState* upstream = servingUpstream(state, work);
    if (upstream == nullptr)
        return std::nullopt;
    return refuseByQueue(state, *upstream, work, rank->second, now);
}

void evictExcess(
    DispatchState& state, const WorkEntry& entry, Utils::Instant now, std::vector<Action>& actions)
{
    if (entry.phase != WorkPhase::Queued)
        return;
    UpstreamState& upstream = state.upstreams.at(entry.upstream);
    const std::size_t rank = entry.rank;
    const WorkId newest = entry.work.id;
    const std::string caller = entry.work.caller;
    const Lane& lane = upstream.lanes.at(rank);
    while (lane.size > 1 && isOverfull(state, upstream, state.works.at(newest), now)) {
        const CallerQueue& longest = lane.callers.at(longestCaller(lane));
        const bool isOwn = longest.works.size() <= lane.callers.at(caller).works.size();
        const WorkId victim = isOwn ? newest : longest.works.back();
        const Reason reason = isOwn ? Reason::QueueFull : Reason::CallerOverShare;
        dequeue(state, state.works.at(victim));
        answerNotRun(state, victim, reason, comeBack(state, upstream, rank, victim, now), actions);
        if (isOwn)
            return;
    }
}

const Declarations::IdempotencyPolicy& policyOf(const DispatchState& state, const Work& work)
{
    const std::map<Utils::ServiceId, Declarations::IdempotencyPolicy>::const_iterator found
        = state.options.serviceIdempotency.find(work.service);
    return found == state.options.serviceIdempotency.end() ? state.options.idempotency : found->second;
}

} // namespace Dispatch::Internal
