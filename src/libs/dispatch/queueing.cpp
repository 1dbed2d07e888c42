#include <dispatch/queueing.h>

#include <dispatch/capacity.h>
#include <dispatch/dispatchconstants.h>
#include <dispatch/lanes.h>
#include <dispatch/memory.h>
#include <dispatch/servicetimes.h>

#include <algorithm>
#include <utility>

namespace Dispatch::Internal {

namespace {

using Requests::Reason;
using Requests::WorkId;

void setGiveUp(DispatchState& state, WorkEntry& entry, Utils::Instant at, Reason reason)
{
    state.giveUps.erase({ entry.giveUpAt, entry.work.id });
    entry.giveUpAt = at;
    entry.giveUpReason = reason;
    state.giveUps.emplace(at, entry.work.id);
}

/// How long a work may wait for what is not there: at most a part of its time, so that its caller can come
/// back.
Utils::Instant waitEnd(
    const DispatchState& state, const WorkEntry& entry, Utils::Instant since, Utils::Instant now)
{
    const Utils::Instant part = now + (entry.work.deadline - now) / giveUpDivisor;
    return std::min(since + state.options.caps.ownerWait, part);
}

Reason unusableReason(const UpstreamState& upstream)
{
    return upstream.condition == UpstreamCondition::Unreachable ? Reason::UpstreamUnreachable
                                                                : Reason::UpstreamDraining;
}

/// When the upstream ceased to be usable.
Utils::Instant unusableSince(const DispatchState& state, const UpstreamState& upstream)
{
    const bool leaves = upstream.condition == UpstreamCondition::Leaving;
    return upstream.conditionSince + (leaves ? state.options.caps.leavingGrace : Utils::Duration(0));
}

void setQueuedGiveUp(
    DispatchState& state, const UpstreamState& upstream, WorkEntry& entry, Utils::Instant now)
{
    if (!isUsable(state, upstream, now)) {
        const Utils::Instant end = waitEnd(state, entry, unusableSince(state, upstream), now);
        setGiveUp(state, entry, end, unusableReason(upstream));
        return;
    }
    const Utils::Instant part = now + (entry.work.deadline - now) / giveUpDivisor;
    const Utils::Instant latest = entry.work.deadline - expectedService(upstream, entry.rank, now);
    setGiveUp(state, entry, std::min(part, latest), Reason::DeadlinePassed);
}

/// Works that wait for an unusable upstream already keep their time.
void renewGiveUps(
    DispatchState& state, const UpstreamState& upstream, const CallerQueue& queue, Utils::Instant now)
{
    const bool usable = isUsable(state, upstream, now);
    for (const WorkId id : queue.works) {
        WorkEntry& entry = state.works.at(id);
        if (usable || entry.giveUpReason != unusableReason(upstream))
            setQueuedGiveUp(state, upstream, entry, now);
    }
}

void waitForOwner(DispatchState& state, WorkEntry& entry, Utils::Instant now, std::vector<Action>& actions)
{
    ShardPlace& place = state.shards.at(entry.work.shard);
    const Utils::Instant end = waitEnd(state, entry, place.unownedSince, now);
    if (end <= now || state.waitingForOwner >= state.options.caps.waitingForOwner) {
        const Utils::Duration retryAfter = spread(unservedRetryAfter, entry.work.id);
        answerNotRun(state, entry.work.id, Reason::NoOwner, retryAfter, actions);
        return;
    }
    entry.phase = WorkPhase::WaitingForOwner;
    place.waiting.insert(entry.work.id);
    ++state.waitingForOwner;
    setGiveUp(state, entry, end, Reason::NoOwner);
}

Utils::Duration retryAfterOf(
    DispatchState& state, const WorkEntry& entry, UpstreamState* upstream, Utils::Instant now)
{
    if (entry.giveUpReason != Reason::DeadlinePassed || upstream == nullptr)
        return spread(unservedRetryAfter, entry.work.id);
    return comeBack(state, *upstream, entry.rank, entry.work.id, now);
}

} // namespace

UpstreamState* servingUpstream(DispatchState& state, const Requests::Work& work)
{
    const std::map<Utils::ShardId, ShardPlace>::const_iterator place = state.shards.find(work.shard);
    if (place == state.shards.end() || !place->second.upstream.has_value())
        return nullptr;
    const std::map<Utils::UpstreamId, UpstreamState>::iterator found
        = state.upstreams.find(*place->second.upstream);
    return found == state.upstreams.end() || !found->second.present ? nullptr : &found->second;
}

void enqueue(
    DispatchState& state, WorkEntry& entry, bool front, Utils::Instant now, std::vector<Action>& actions)
{
    UpstreamState* upstream = servingUpstream(state, entry.work);
    if (upstream == nullptr) {
        waitForOwner(state, entry, now, actions);
        return;
    }
    accrue(state, *upstream, now);
    setQueuedGiveUp(state, *upstream, entry, now);
    entry.phase = WorkPhase::Queued;
    entry.upstream = upstream->declared.id;
    Lane& lane = upstream->lanes.at(entry.rank);
    if (front)
        pushFront(lane, entry.work.caller, entry.work.id);
    else
        pushBack(lane, entry.work.caller, entry.work.id);
}

void dequeue(DispatchState& state, WorkEntry& entry)
{
    state.giveUps.erase({ entry.giveUpAt, entry.work.id });
    if (entry.phase == WorkPhase::WaitingForOwner) {
        state.waitingForOwner -= state.shards.at(entry.work.shard).waiting.erase(entry.work.id);
        return;
    }
    UpstreamState& upstream = state.upstreams.at(entry.upstream);
    eraseFrom(upstream.lanes.at(entry.rank), entry.work.caller, entry.work.id);
}

void setGiveUps(DispatchState& state, UpstreamState& upstream, Utils::Instant now)
{
    for (const Lane& lane : upstream.lanes) {
        for (const std::pair<const std::string, CallerQueue>& caller : lane.callers)
            renewGiveUps(state, upstream, caller.second, now);
    }
}

void answerNotRun(DispatchState& state, WorkId work, Reason reason, Utils::Duration retryAfter,
    std::vector<Action>& actions)
{
    const std::unordered_map<WorkId, WorkEntry>::iterator found = state.works.find(work);
    if (!found->second.work.idempotent)
        forgetActive(state.memory, found->second.work);
    state.works.erase(found);
    actions.emplace_back(AnswerWork { work, reason, retryAfter });
}

void giveUpDue(DispatchState& state, Utils::Instant now, std::vector<Action>& actions)
{
    while (!state.giveUps.empty() && state.giveUps.begin()->first <= now) {
        const WorkId id = state.giveUps.begin()->second;
        WorkEntry& entry = state.works.at(id);
        dequeue(state, entry);
        const Reason reason = entry.giveUpReason;
        const Utils::Duration retryAfter
            = retryAfterOf(state, entry, servingUpstream(state, entry.work), now);
        answerNotRun(state, id, reason, retryAfter, actions);
    }
}

std::vector<WorkId> waitingWorks(const DispatchState& state)
{
    std::vector<WorkId> waiting;
    for (const std::pair<const WorkId, WorkEntry>& work : state.works) {
        if (work.second.phase != WorkPhase::Running)
            waiting.push_back(work.first);
    }
    std::sort(waiting.begin(), waiting.end());
    return waiting;
}

} // namespace Dispatch::Internal
