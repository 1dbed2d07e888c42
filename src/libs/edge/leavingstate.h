#pragma once

#include <routing/leavingupstreams.h>

#include <set>

namespace Edge {

/// Upstreams that are leaving, and whom this VM still has to tell.
struct LeavingState {
    Routing::LeavingUpstreams upstreams;
    /// Upstreams of which the relay source and the subscribers have not been told.
    std::set<Utils::UpstreamId> unsentToSource;
    std::set<Utils::UpstreamId> unsentToSubscribers;
};

} // namespace Edge
