#pragma once

#include "simulation.h"

#include <granting/grantaction.h>

namespace GrantTest {

/// Sends the call \a action of the leader \a vm to its upstream, and its outcome back.
void sendAction(Simulation& simulation, unsigned vm, std::uint64_t term, const Granting::GrantAction& action);

} // namespace GrantTest
