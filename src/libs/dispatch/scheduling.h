#pragma once

#include <dispatch/action.h>
#include <dispatch/dispatchstate.h>
#include <utils/time.h>

#include <vector>

/// Which queued work starts next.
namespace Dispatch::Internal {

/// Starts works on the upstream while it has slots for them.
void schedule(
    DispatchState& state, UpstreamState& upstream, Utils::Instant now, std::vector<Action>& actions);

/// Starts works on every upstream.
void scheduleAll(DispatchState& state, Utils::Instant now, std::vector<Action>& actions);

} // namespace Dispatch::Internal
