#pragma once

#include "fakeupstream.h"
#include "simulationstate.h"

/// The upstreams.
namespace Measure {

/// A work arrives at the upstream with the number.
void arriveAtUpstream(SimulationState& sim, unsigned number, const UpstreamWork& work);

/// No answer within the deadline: the upstream is told to stop, and its slot is free once it has.
void timeOut(SimulationState& sim, Requests::WorkId work, unsigned upstream);

} // namespace Measure
