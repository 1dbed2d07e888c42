#pragma once

#include <routing/route.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How far each part of a route is ahead of or behind its weight's share on this VM.
struct SplitState {
    /// Route name to one running credit a part.
    std::unordered_map<std::string, std::vector<std::int64_t>> credits;
};

/// The part that the next request of \a route goes to: smooth weighted round robin, so that shares are exact
/// over any short run of requests and not only on average. A part without weight gets nothing.
const RouteDestination& chooseDestination(SplitState& state, const Route& route);

} // namespace Routing
