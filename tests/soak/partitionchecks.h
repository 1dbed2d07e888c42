#pragma once

#include <soak/world.h>

#include <boost/json.hpp>

namespace Soak {

/// Compares what callers of VMs that were cut from the upstreams saw with what callers of others saw. Adds to
/// the world's violations.
void checkPartitions(World& world);

/// Returns what became of harmless requests by partition and phase, "SERVED/SENT" for plain requests and
/// those with keys.
boost::json::array summarizePartitions(const World& world);

} // namespace Soak
