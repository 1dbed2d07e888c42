#pragma once

#include "simulation.h"

namespace GrantTest {

/// Sends the append of a lease record of \a vm to the store.
void appendLease(Simulation& simulation, unsigned vm);

/// Reads the newest leader record from the store.
void readLeaderLog(Simulation& simulation, unsigned vm);

} // namespace GrantTest
