#pragma once

#include "simulationstate.h"

namespace OwnershipBench {

/// Appends a record that names processes which are there now; the former record goes with it.
void appendRecord(SimulationState& world);

/// The fake leader: replaces a named process that was lost or restarted, as soon as it is suspected and the
/// log answers.
void runLeader(SimulationState& world);

} // namespace OwnershipBench
