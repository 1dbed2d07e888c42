#pragma once

#include <dispatch/action.h>
#include <dispatch/dispatchstate.h>
#include <requests/reason.h>
#include <utils/time.h>

#include <vector>

/// Where works wait, and until when.
namespace Dispatch::Internal {

/// The upstream that serves the shard of the work; null while there is none.
UpstreamState* servingUpstream(DispatchState& state, const Requests::Work& work);

/// Puts a work that waits nowhere where its shard is served, or lets it wait for an owner. Answers it at once
/// when waiting can't help. \param front whether it goes before the other works of its caller.
void enqueue(
    DispatchState& state, WorkEntry& entry, bool front, Utils::Instant now, std::vector<Action>& actions);

/// Takes a queued or waiting work out of where it waits; it stays in \c DispatchState::works.
void dequeue(DispatchState& state, WorkEntry& entry);

/// Sets until when each work queued for the upstream may wait.
void setGiveUps(DispatchState& state, UpstreamState& upstream, Utils::Instant now);

/// Gives a work that waits nowhere its final answer and forgets it; its request was not run.
void answerNotRun(DispatchState& state, Requests::WorkId work, Requests::Reason reason,
    Utils::Duration retryAfter, std::vector<Action>& actions);

/// Answers every queued and waiting work whose time is up.
void giveUpDue(DispatchState& state, Utils::Instant now, std::vector<Action>& actions);

/// Ids of the works that wait, queued or for an owner, in the order of their submission.
std::vector<Requests::WorkId> waitingWorks(const DispatchState& state);

} // namespace Dispatch::Internal
