#pragma once

#include <balancing/servicestats.h>
#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// What decides where one request goes.
struct PlacementRequest {
    const ServiceStats* stats = nullptr;
    /// Bytes that its answer is likely to have; they cost on the way between zones and regions.
    double answerBytes = 0;
    /// Time left until the caller or the route gives up.
    Utils::Duration timeLeft {};
    /// Breaks ties between equal upstreams differently for each request.
    std::uint64_t seed = 0;
};

} // namespace Balancing
