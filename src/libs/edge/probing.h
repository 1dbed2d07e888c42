#pragma once

#include <edge/guardedtimer.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Edge {

/// The upstreams that are asked for their load before the next attempt of a request.
struct Probing {
    explicit Probing(boost::asio::io_context& context)
        : timer(context)
    {
    }

    /// Rises with each round, so that late responses are told from those of the current one.
    std::uint64_t batch = 0;
    unsigned rounds = 0;
    unsigned pending = 0;
    std::set<Utils::UpstreamId> asked;
    /// Upstreams that have told their load.
    std::set<Utils::UpstreamId> answered;
    /// Ends the wait for responses.
    GuardedTimer timer;
};

} // namespace Edge
