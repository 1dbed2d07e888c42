#pragma once

#include <balancing/upstreamreach.h>
#include <edge/guardedtimer.h>
#include <edge/reachprobe.h>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace Edge {

/// Whether this VM reaches upstreams, and the probes that find out.
struct ReachProbing {
    explicit ReachProbing(boost::asio::io_context& context)
        : timer(context)
    {
    }

    Balancing::UpstreamReach reach;
    std::uint64_t lastProbeId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<ReachProbe>> probes;
    /// Runs while the reach is suspected or lost.
    GuardedTimer timer;
    /// Index of the next upstream to probe, modulo their number.
    std::size_t nextTarget = 0;
    /// How often the reach was lost.
    std::uint64_t losses = 0;
};

} // namespace Edge
