#pragma once

#include <soak/world.h>

/// Callers of the VMs and the platform's load balancer.
namespace Soak {

/// Checks the VMs' readiness once a second and starts ended processes again.
void startLoadBalancer(World& world);

/// Sends requests until the traffic ends.
void startTraffic(World& world);

/// Sends a request whose content crashes upstreams to one VM after the other, \a gap apart.
void startPoison(World& world, RequestKind kind, std::size_t number, std::chrono::milliseconds gap);

} // namespace Soak
