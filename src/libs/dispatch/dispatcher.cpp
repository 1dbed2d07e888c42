#include <dispatch/dispatcher.h>

#include <dispatch/admission.h>
#include <dispatch/capacity.h>
#include <dispatch/dispatchconstants.h>
#include <dispatch/memory.h>
#include <dispatch/moves.h>
#include <dispatch/poison.h>
#include <dispatch/queueing.h>
#include <dispatch/scheduling.h>

#include <algorithm>

namespace Dispatch {

namespace {

using Requests::Reason;
using Requests::Work;
using Requests::WorkId;

void knowShard(DispatchState& state, const Utils::ShardId& shard, Utils::Instant now)
{
    const bool isNew = !state.shards.contains(shard);
    if (!isNew)
        return;
    ShardPlace& place = state.shards[shard];
    place.unownedSince = now;
    place.rememberedSince = state.rememberedSince.value_or(now);
}

/// Queues a work that was not refused, and starts what can be started.
void accept(DispatchState& state, const Work& work, Utils::Instant now, std::vector<Action>& actions)
{
    if (!work.idempotent)
        Internal::rememberActive(state.memory, work);
    WorkEntry& entry = state.works[work.id];
    entry.work = work;
    entry.rank = state.rankIndex.at(work.rank);
    Internal::enqueue(state, entry, false, now, actions);
    UpstreamState* upstream = Internal::servingUpstream(state, work);
    if (upstream == nullptr)
        return;
    Internal::schedule(state, *upstream, now, actions);
    Internal::giveUpDue(state, now, actions);
    const std::unordered_map<WorkId, WorkEntry>::const_iterator waiting = state.works.find(work.id);
    if (waiting != state.works.end())
        Internal::evictExcess(state, waiting->second, now, actions);
}

/// When the upstream's queue may move without an event.
Utils::Instant wakeUpOf(const DispatchState& state, const UpstreamState& upstream)
{
    Utils::Instant wakeUp = Utils::Instant::max();
    const bool isEmpty = std::all_of(
        upstream.lanes.begin(), upstream.lanes.end(), [](const Lane& lane) { return lane.size == 0; });
    if (isEmpty)
        return wakeUp;
    if (upstream.pausedUntil > state.now)
        wakeUp = std::min(wakeUp, upstream.pausedUntil);
    for (const std::pair<const WorkId, Utils::Instant>& slot : upstream.abandoned)
        wakeUp = std::min(wakeUp, slot.second);
    if (upstream.isolationSince.has_value())
        wakeUp = std::min(wakeUp, *upstream.isolationSince + isolationWait);
    const Utils::Instant graceEnd = upstream.conditionSince + state.options.caps.leavingGrace;
    if (upstream.condition == UpstreamCondition::Leaving && graceEnd > state.now)
        wakeUp = std::min(wakeUp, graceEnd);
    return wakeUp;
}

/// Works queued for a leaving upstream wait for their shards to move once its grace is over.
void endGraces(DispatchState& state, Utils::Instant now)
{
    for (std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams) {
        const bool isOver = upstream.second.condition == UpstreamCondition::Leaving
            && !Internal::isUsable(state, upstream.second, now);
        if (isOver)
            Internal::setGiveUps(state, upstream.second, now);
    }
}

} // namespace

std::vector<Action> submit(DispatchState& state, const Work& work, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    if (state.works.contains(work.id))
        return actions;
    Internal::giveUpDue(state, now, actions);
    knowShard(state, work.shard, now);
    const std::optional<Action> refusal = Internal::refuse(state, work, now);
    if (refusal.has_value())
        actions.push_back(*refusal);
    else
        accept(state, work, now, actions);
    return actions;
}

std::vector<Action> cancel(DispatchState& state, WorkId work, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    const std::unordered_map<WorkId, WorkEntry>::iterator found = state.works.find(work);
    if (found == state.works.end() || found->second.callerLeft)
        return actions;
    WorkEntry& entry = found->second;
    if (entry.phase == WorkPhase::Running) {
        entry.callerLeft = true;
        if (entry.work.idempotent)
            actions.emplace_back(CancelWork { work, entry.upstream });
        return actions;
    }
    Internal::dequeue(state, entry);
    Internal::answerNotRun(state, work, Reason::Cancelled, {}, actions);
    return actions;
}

std::vector<Action> drain(DispatchState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    state.draining = true;
    for (const WorkId id : Internal::waitingWorks(state)) {
        Internal::dequeue(state, state.works.at(id));
        Internal::answerNotRun(state, id, Reason::ShuttingDown, Internal::spread(minRetryAfter, id), actions);
    }
    return actions;
}

std::vector<Action> tick(DispatchState& state, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    endGraces(state, now);
    Internal::completeMoves(state, now, actions);
    Internal::giveUpDue(state, now, actions);
    Internal::expireMemory(state.memory, now, actions);
    Internal::expirePoison(state.poison, now);
    Internal::scheduleAll(state, now, actions);
    return actions;
}

Utils::Instant nextTick(const DispatchState& state)
{
    Utils::Instant next = Internal::nextMove(state);
    if (!state.giveUps.empty())
        next = std::min(next, state.giveUps.begin()->first);
    if (!state.memory.expiries.empty())
        next = std::min(next, state.memory.expiries.begin()->first);
    for (const std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams)
        next = std::min(next, wakeUpOf(state, upstream.second));
    return next;
}

} // namespace Dispatch
