#pragma once

#include <utils/time.h>

#include <optional>

namespace Balancing {

/// Statistics of this VM for the requests of one route.
struct RouteStats {
    /// Mean latency of a response at an upstream of average speed; empty before the first response.
    std::optional<Utils::Duration> meanLatency;
    /// Mean size of a response in bytes.
    double meanResponseBytes = 0;
    /// Longest timeout of a caller seen so far, which is that of first attempts.
    Utils::Duration maxCallerTimeout {};
};

} // namespace Balancing
