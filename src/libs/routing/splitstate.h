#pragma once

#include <routing/route.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// State of the weighted round robin over the destinations of each route on this VM.
struct SplitState {
    /// Where in the sequence of destinations this VM begins; differs between VMs, as otherwise the first
    /// request of each route goes to the same destination on all of them.
    std::uint64_t phase = 0;
    /// Maps the name of a route to the current credit of each destination.
    std::unordered_map<std::string, std::vector<std::int64_t>> credits;
};

/// Chooses the destination of the next request of \a route by smooth weighted round robin, so that the
/// traffic split is exact over any short run of requests and not only on average. A destination with weight 0
/// gets no requests.
const RouteDestination& chooseDestination(SplitState& state, const Route& route);

} // namespace Routing
