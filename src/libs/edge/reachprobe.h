#pragma once

#include <edge/guardedtimer.h>
#include <edge/sockets.h>
#include <utils/ids.h>
#include <utils/time.h>

namespace Edge {

/// A connection that is opened only to learn whether an upstream can be reached.
struct ReachProbe {
    explicit ReachProbe(boost::asio::io_context& context)
        : socket(context)
        , timer(context)
    {
    }

    Utils::UpstreamId upstream;
    Utils::Instant startedAt {};
    Tcp::socket socket;
    GuardedTimer timer;
};

} // namespace Edge
