#pragma once

#include "conditions.h"
#include "guards.h"
#include "outcome.h"

#include <cstdint>

/// Simulates the production decisions of two VMs in virtual time, with a store, three upstreams that restart,
/// and messages that are delayed, lost, or applied after their timeout.
namespace GrantTest {

/// Runs the simulation for \a seconds of virtual time.
Outcome runSimulation(
    std::uint64_t seed, unsigned seconds, const Guards& guards, const Conditions& conditions = {});

} // namespace GrantTest
