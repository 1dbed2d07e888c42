#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// A request that waits on this VM for room at upstreams.
struct WaitingRequest {
    std::uint64_t id = 0;
    /// Priority of its route; 0 is the most urgent.
    unsigned priority = 0;
    Utils::Instant waitingSince {};
    Utils::Instant targetAt {};
    Utils::Instant deadlineAt {};
    /// Time from sending to the response at an upstream without a queue.
    Utils::Duration expectedLatency {};
    /// An earlier attempt of the caller was rejected or failed.
    bool isCallerRetry = false;
    /// It left the queue before and found all upstreams full.
    bool isReturned = false;
    std::uint64_t bytes = 0;
};

} // namespace Balancing
