#pragma once

#include <soak/world.h>

namespace Soak {

/// Lets upstreams name limits one after the other, from a series of its own, so that the other faults of a
/// seed stay.
void startLimits(World& world);

/// Ends the limit of \a upstream, also because its process has ended.
void endLimit(World& world, UpstreamHost& upstream);

/// Records that a request reached \a upstream from \a vm, which nothing had disturbed lately.
void recordLimitedArrival(World& world, const UpstreamHost& upstream, const VmProcess& vm, Instant at);

/// Records that \a vm passed on a response of \a upstream that names its limit.
void recordToldVm(World& world, const std::string& upstream, const VmProcess& vm);

void checkLimits(World& world);

} // namespace Soak
