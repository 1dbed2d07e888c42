#pragma once

#include "simulationstate.h"

#include <dispatch/action.h>
#include <dispatch/workresult.h>

#include <cstdint>
#include <vector>

/// The entry VMs and the dispatcher, or what stands in for it.
namespace Measure {

/// The entry VM sends the request's next attempt to the dispatcher.
void sendToDispatcher(SimulationState& sim, std::uint64_t request);

/// A network thread reports the result of a started work, unless it has timed out before.
void reportResult(SimulationState& sim, Requests::WorkId work, const Dispatch::WorkResult& result);

/// Does what the dispatcher decided.
void perform(SimulationState& sim, const std::vector<Dispatch::Action>& actions);

} // namespace Measure
