#pragma once

#include <balancing/servicestats.h>
#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// What decides where one request goes.
struct PlacementRequest {
    const ServiceStats* stats = nullptr;
    /// Time that such a request takes at an upstream of usual speed, without waiting.
    Utils::Duration baselineLatency {};
    /// Bytes that its answer is likely to have; they cost on the way between zones and regions.
    double expectedResponseBytes = 0;
    /// Breaks ties between equal upstreams differently for each request.
    std::uint64_t seed = 0;
};

} // namespace Balancing
