#pragma once

#include "simulation.h"

namespace GrantTest {

/// What the leader \a vm does in one tick: reads and writes assignments, and grants keys.
void actAsLeader(Simulation& simulation, unsigned vm);

} // namespace GrantTest
