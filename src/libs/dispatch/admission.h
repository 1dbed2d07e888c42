#pragma once

#include <dispatch/action.h>
#include <dispatch/dispatchstate.h>
#include <requests/work.h>
#include <utils/time.h>

#include <optional>
#include <vector>

/// Which works are taken on arrival.
namespace Dispatch::Internal {

/// The final answer of a work that is not taken; nothing if it is. A remembered request is recognised first,
/// so that no answer says "not run" of a request that may have run.
std::optional<Action> refuse(DispatchState& state, const Requests::Work& work, Utils::Instant now);

/// Makes the queue of \a entry's rank fit its bounds again after it was taken, at the cost of the caller with
/// most works queued.
void evictExcess(
    DispatchState& state, const WorkEntry& entry, Utils::Instant now, std::vector<Action>& actions);

/// The idempotency policy of a work's service.
const Declarations::IdempotencyPolicy& policyOf(const DispatchState& state, const Requests::Work& work);

} // namespace Dispatch::Internal
