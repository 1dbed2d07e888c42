#pragma once

#include <soak/world.h>

/// Callers of the VMs and the platform's load balancer.
namespace Soak {

inline constexpr std::uint16_t callersPort = 18641;
inline constexpr std::chrono::milliseconds callTimeout { 2500 };

/// Adds the record of a request that is sent to the VM with the index \a vm. Returns its index.
std::size_t addRequest(World& world, std::size_t vm, RequestKind kind, const std::string& content);

Platform::HttpRequest makeRequest(World& world, const RequestRecord& record);

void recordResponse(World& world, RequestRecord& record, const Edge::CallResponse& response);

/// Checks the VMs' readiness once a second and starts ended processes again.
void startLoadBalancer(World& world);

/// Sends requests until the traffic ends.
void startTraffic(World& world);

/// Sends a request whose content crashes upstreams to one VM after the other, \a gap apart.
void startPoison(World& world, RequestKind kind, std::size_t number, std::chrono::milliseconds gap);

} // namespace Soak
