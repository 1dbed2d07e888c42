#pragma once

#include "simulationstate.h"

namespace OwnershipBench {

/// Appends a record that names processes which are available now; the previous record is included in it.
void appendRecord(SimulationState& state);

/// Simulates the leader: replaces a named process that was terminated or restarted, as soon as it is
/// suspected and the log responds.
void runLeader(SimulationState& state);

} // namespace OwnershipBench
