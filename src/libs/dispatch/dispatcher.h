#pragma once

#include <dispatch/action.h>
#include <dispatch/dispatchoptions.h>
#include <dispatch/dispatchstate.h>
#include <dispatch/upstreamcondition.h>
#include <dispatch/workresult.h>
#include <requests/work.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <vector>

/// The decisions of the dispatcher of one pool: which work runs where and when, and what becomes of the rest.
///
/// Every submitted work gets exactly one final action: \c AnswerWork, \c ReplayAnswer, or a \c StartWork
/// whose result is \c Done, in which case the network thread has passed the upstream's answer on. A \c
/// StartWork whose result is anything else is followed by another \c StartWork or by \c AnswerWork.
///
/// No function reads a clock; \a now never decreases from call to call.
namespace Dispatch {

/// Takes a new configuration. Queued works keep their place as far as their rank and upstream are still
/// there.
std::vector<Action> configure(DispatchState& state, const DispatchOptions& options, Utils::Instant now);

/// Takes a work; its id must not be in use. It is queued, started, or given its final answer at once.
std::vector<Action> submit(DispatchState& state, const Requests::Work& work, Utils::Instant now);

/// Takes the result of a started work.
std::vector<Action> finished(
    DispatchState& state, Requests::WorkId work, const WorkResult& result, Utils::Instant now);

/// The upstream has confirmed that a lost or timed out work runs no longer; frees its slot early.
std::vector<Action> released(DispatchState& state, Requests::WorkId work, Utils::Instant now);

/// The caller left. A queued work is dropped, a running idempotent one cancelled; a running non-idempotent
/// one goes on, so that a repeat finds its answer.
std::vector<Action> cancel(DispatchState& state, Requests::WorkId work, Utils::Instant now);

/// Says which upstream serves the shard, or that none does for now.
std::vector<Action> placeShard(DispatchState& state, const Utils::ShardId& shard,
    const std::optional<Utils::UpstreamId>& upstream, Utils::Instant now);

/// Reports an upstream's readiness. Completions are believed over reports: one ends \c Shedding.
/// \param backoff how long a shedding upstream asked to be left alone; zero if it didn't say.
std::vector<Action> setUpstreamCondition(DispatchState& state, const Utils::UpstreamId& upstream,
    UpstreamCondition condition, Utils::Instant now, Utils::Duration backoff = {});

/// Another VM may have dispatched for this pool until now: repeats of ids that it may have run are not run.
void takeOver(DispatchState& state, Utils::Instant now);

/// Nobody has dispatched for this pool before: no id can have run that is not remembered.
void rememberFromStart(DispatchState& state);

/// This VM stops: queued works are answered at once, running ones finish, new ones are refused.
std::vector<Action> drain(DispatchState& state, Utils::Instant now);

/// Does what has become due.
std::vector<Action> tick(DispatchState& state, Utils::Instant now);

/// When \c tick is next needed; the far future when it is not.
Utils::Instant nextTick(const DispatchState& state);

} // namespace Dispatch
