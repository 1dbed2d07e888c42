#pragma once

#include "routing.h"
#include "scenario.h"
#include "servicereport.h"

#include <cstdint>
#include <vector>

/// Callers, entry VMs, a dispatcher and upstreams in virtual time.
namespace Measure {

/// Normal load, floods from either end of the ranks, a slow, a shedding and a cold upstream.
std::vector<Scenario> scenarios();

/// Runs the scenario; the same seed gives the same report.
ServiceReport simulate(const Scenario& scenario, Routing routing, std::uint64_t seed);

} // namespace Measure
