#pragma once

#include "simulationresult.h"
#include "simulationsettings.h"

/// Runs the granters and holders of one pool in virtual time, with fakes for the network, the log and the
/// leader.
namespace OwnershipBench {

/// Plays \a settings to their end.
SimulationResult runSimulation(const SimulationSettings& settings);

} // namespace OwnershipBench
