#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// Inputs of the admission decision for one request.
struct AdmissionContext {
    /// Expected time until the response of the best upstream.
    Utils::Duration expectedLatency {};
    /// Expected latency at an upstream without a queue.
    Utils::Duration unloadedLatency {};
    /// Time until the target latency is exceeded; negative if it already is.
    Utils::Duration timeToTarget {};
    /// Time until the deadline of the caller or the timeout of the route, whichever comes first.
    Utils::Duration timeLeft {};
    /// An earlier attempt of the caller was rejected or failed.
    bool isCallerRetry = false;
    /// Seed of the jitter of the retry delay.
    std::uint64_t seed = 0;
    /// The request would take the last free slot from more urgent ones; see yielding.h.
    bool mustYield = false;
};

} // namespace Balancing
