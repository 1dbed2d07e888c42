#pragma once

#include "simulationresult.h"
#include "simulationsettings.h"

/// Simulates the granters and holders of one pool in virtual time, with a simulated network, log and leader.
namespace OwnershipBench {

/// Runs the simulation that \a settings describe to its end.
SimulationResult runSimulation(const SimulationSettings& settings);

} // namespace OwnershipBench
