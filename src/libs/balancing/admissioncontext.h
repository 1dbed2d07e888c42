#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// What decides whether a request is admitted.
struct AdmissionContext {
    /// Expected time to the answer at the best upstream.
    Utils::Duration expectedLatency {};
    /// Time that an upstream without a queue would need.
    Utils::Duration unloadedLatency {};
    /// Until the answer is late; negative when it is already.
    Utils::Duration timeToTarget {};
    /// Until caller or route give up.
    Utils::Duration timeLeft {};
    /// The caller has been turned away or failed before.
    bool isCallerRetry = false;
    /// Spreads those that come back.
    std::uint64_t seed = 0;
};

} // namespace Balancing
