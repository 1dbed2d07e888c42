#pragma once

#include <soak/world.h>

namespace Soak {

/// Samples which upstreams hold which keys while the run lasts.
void watchPromises(World& world);

/// Compares what callers and upstreams saw. Adds to the world's violations.
void checkPromises(World& world);

/// Returns a JSON line with what became of the requests.
std::string summarize(const World& world);

} // namespace Soak
