#pragma once

#include <balancing/servicestats.h>
#include <utils/time.h>

#include <cstdint>

namespace Balancing {

/// Inputs of the choice of an upstream for one request.
struct PlacementRequest {
    const ServiceStats* stats = nullptr;
    /// Latency of such a request at an upstream of average speed, without waiting.
    Utils::Duration baselineLatency {};
    /// Expected size of the response in bytes, which adds to the cost between zones and regions.
    double expectedResponseBytes = 0;
    /// Seed that breaks ties between equal upstreams differently for each request.
    std::uint64_t seed = 0;
};

} // namespace Balancing
