#pragma once

#include <balancing/upstreamload.h>
#include <edge/coldstate.h>
#include <edge/unreadablereports.h>

#include <cstdint>
#include <vector>

namespace Edge {

/// Load estimate of an upstream and the idle connections to it.
struct UpstreamState {
    Balancing::UpstreamLoad load;
    /// The process of the upstream with this start time has asked for no requests until then.
    Utils::Instant pausedUntil {};
    std::uint64_t pausedStartTimeMs = 0;
    ColdState cold;
    UnreadableReports unreadableLoads;
    UnreadableReports unreadableColdTimes;
    /// Ids of the idle connections, most recently used last.
    std::vector<std::uint64_t> idleConnectionIds;
};

} // namespace Edge
