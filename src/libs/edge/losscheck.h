#pragma once

#include <balancing/attemptobservation.h>
#include <balancing/lossevidence.h>
#include <edge/guardedtimer.h>
#include <edge/sockets.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>
#include <vector>

namespace Edge {

/// Finds out whether an upstream to which connections were lost has crashed.
struct LossCheck {
    explicit LossCheck(boost::asio::io_context& context)
        : socket(context)
        , timer(context)
    {
    }

    Utils::UpstreamId upstream;
    /// Attempts that were lost, the first one first.
    std::vector<Balancing::AttemptObservation> attempts;
    Balancing::LossEvidence evidence;
    /// Number of other upstreams that were probed.
    std::size_t otherProbes = 0;
    Utils::Instant probedAt {};
    Tcp::socket socket;
    GuardedTimer timer;
};

} // namespace Edge
