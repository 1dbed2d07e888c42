#pragma once

#include <balancing/upstreamload.h>

#include <cstdint>
#include <vector>

namespace Edge {

/// What this VM has with one upstream.
struct UpstreamState {
    Balancing::UpstreamLoad load;
    /// Idle connections, the last used one last.
    std::vector<std::uint64_t> idleConnectionIds;
};

} // namespace Edge
