#pragma once

#include <soak/faultkind.h>
#include <soak/world.h>

namespace Soak {

/// Injects faults that the seed draws, in series and overlapping, until shortly before the traffic ends.
void startFaults(World& world);

/// Injects one fault now; it ends by itself after \a length.
void injectFault(World& world, FaultKind kind, std::chrono::milliseconds length);

} // namespace Soak
