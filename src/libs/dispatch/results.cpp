#include <dispatch/dispatcher.h>

#include <dispatch/admission.h>
#include <dispatch/capacity.h>
#include <dispatch/dispatchconstants.h>
#include <dispatch/lanes.h>
#include <dispatch/memory.h>
#include <dispatch/moves.h>
#include <dispatch/poison.h>
#include <dispatch/queueing.h>
#include <dispatch/scheduling.h>
#include <dispatch/servicetimes.h>
#include <dispatch/upstreams.h>
#include <requests/retry.h>

#include <algorithm>

namespace Dispatch {

namespace {

using Requests::Reason;
using Requests::WorkId;

/// Whether the refusal speaks of the upstream rather than of the work.
bool isUpstreamRefusal(Reason reason)
{
    return reason == Reason::UpstreamShedding || reason == Reason::UpstreamDraining
        || reason == Reason::UpstreamUnreachable || reason == Reason::StaleToken;
}

/// Takes the work off its slot.
void stopRunning(DispatchState& state, UpstreamState& upstream, const WorkEntry& entry,
    Utils::Duration serviceTime, Utils::Instant now)
{
    Internal::accrue(state, upstream, now);
    Lane& lane = upstream.lanes.at(entry.rank);
    --lane.running;
    upstream.running.erase(entry.work.id);
    upstream.isolating = false;
    Internal::settleCaller(lane, entry.work.caller, serviceTime - entry.turn);
}

void finishDone(DispatchState& state, UpstreamState& upstream, const WorkEntry& entry,
    const WorkResult& result, Utils::Instant now, std::vector<Action>& actions)
{
    Internal::learn(upstream.lanes.at(entry.rank).service, result.serviceTime, now);
    Internal::noteCompletion(upstream, now);
    Internal::clearSuspicion(state.poison, entry.work);
    if (!entry.work.idempotent) {
        const Utils::Instant expires = now + Internal::policyOf(state, entry.work).window;
        Internal::rememberRan(state.memory, entry.work, result, state.options.caps, expires, actions);
    }
    state.works.erase(entry.work.id);
}

bool mayRestart(DispatchState& state, const UpstreamState& upstream, const WorkEntry& entry, Reason reason,
    Utils::Instant now)
{
    if (entry.callerLeft || state.draining || !isUpstreamRefusal(reason))
        return false;
    if (entry.starts >= state.options.caps.maxStarts)
        return false;
    const Utils::Instant start = std::max(now, upstream.pausedUntil);
    if (start + Internal::expectedService(upstream, entry.rank, now) > entry.work.deadline)
        return false;
    return Requests::takeRetry(state.restarts, state.ranks.at(entry.rank), now);
}

void finishNotRun(DispatchState& state, UpstreamState& upstream, WorkEntry& entry, const WorkResult& result,
    Utils::Instant now, std::vector<Action>& actions)
{
    if (result.reason == Reason::UpstreamShedding)
        Internal::noteShedding(upstream, result.retryAfter, now);
    else if (isUpstreamRefusal(result.reason))
        Internal::noteRefusal(upstream, result.retryAfter, now);
    if (mayRestart(state, upstream, entry, result.reason, now)) {
        Internal::enqueue(state, entry, true, now, actions);
        return;
    }
    const bool isNotRun = Requests::outcomeOf(result.reason) == Requests::Outcome::NotRun;
    const Reason reason = isNotRun ? result.reason : Reason::UpstreamUnreachable;
    const Utils::Duration pause = upstream.pausedUntil - now;
    const Utils::Duration retryAfter
        = Internal::spread(std::max({ pause, result.retryAfter, minRetryAfter }), entry.work.id);
    Internal::answerNotRun(state, entry.work.id, reason, retryAfter, actions);
}

/// The work may have run; its slot counts as taken for a while unless the upstream is known to have stopped.
void finishUnknown(DispatchState& state, UpstreamState& upstream, const WorkEntry& entry,
    const WorkResult& result, Utils::Instant now, std::vector<Action>& actions)
{
    const Declarations::IdempotencyPolicy& policy = Internal::policyOf(state, entry.work);
    const DispatchCaps& caps = state.options.caps;
    Utils::Duration retryAfter = minRetryAfter;
    if (result.kind == WorkResultKind::Crashed)
        retryAfter = std::max(retryAfter,
            Internal::countCrash(state.poison, entry.work, !entry.accompanied, policy, caps, now));
    else
        upstream.abandoned.emplace(entry.work.id, now + caps.abandonedSlotHold);
    if (result.kind == WorkResultKind::TimedOut)
        Internal::learnAtLeast(upstream.lanes.at(entry.rank).service, result.serviceTime, now);
    if (!entry.work.idempotent)
        Internal::rememberLost(state.memory, entry.work, now + policy.window);
    const Reason reason
        = result.kind == WorkResultKind::TimedOut ? Reason::UpstreamTimeout : Reason::UpstreamLost;
    const WorkId id = entry.work.id;
    state.works.erase(id);
    actions.emplace_back(AnswerWork { id, reason, Internal::spread(retryAfter, id) });
}

void dropIfGone(DispatchState& state, const Utils::UpstreamId& id)
{
    const UpstreamState& upstream = state.upstreams.at(id);
    if (!upstream.present && upstream.running.empty())
        state.upstreams.erase(id);
}

} // namespace

std::vector<Action> finished(DispatchState& state, WorkId work, const WorkResult& result, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    const std::unordered_map<WorkId, WorkEntry>::iterator found = state.works.find(work);
    if (found == state.works.end() || found->second.phase != WorkPhase::Running)
        return actions;
    WorkEntry& entry = found->second;
    const Utils::UpstreamId upstreamId = entry.upstream;
    UpstreamState& upstream = state.upstreams.at(upstreamId);
    stopRunning(state, upstream, entry, result.serviceTime, now);
    switch (result.kind) {
    case WorkResultKind::Done:
        finishDone(state, upstream, entry, result, now, actions);
        break;
    case WorkResultKind::NotRun:
        finishNotRun(state, upstream, entry, result, now, actions);
        break;
    case WorkResultKind::Lost:
    case WorkResultKind::Crashed:
    case WorkResultKind::TimedOut:
        finishUnknown(state, upstream, entry, result, now, actions);
        break;
    }
    const bool shardsWait = !state.moves.empty();
    Internal::completeMoves(state, now, actions);
    Internal::giveUpDue(state, now, actions);
    Internal::schedule(state, upstream, now, actions);
    if (shardsWait)
        Internal::scheduleAll(state, now, actions);
    dropIfGone(state, upstreamId);
    return actions;
}

std::vector<Action> released(DispatchState& state, WorkId work, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    for (std::pair<const Utils::UpstreamId, UpstreamState>& upstream : state.upstreams) {
        if (upstream.second.abandoned.erase(work) == 0)
            continue;
        Internal::giveUpDue(state, now, actions);
        Internal::schedule(state, upstream.second, now, actions);
        break;
    }
    return actions;
}

} // namespace Dispatch
