#pragma once

#include <utils/time.h>

#include <optional>

namespace Balancing {

/// What this VM has seen of one route's requests.
struct RouteStats {
    /// Mean time of an answer at an upstream of usual speed; nothing before the first.
    std::optional<Utils::Duration> meanLatency;
    /// Mean bytes of an answer.
    double meanResponseBytes = 0;
    /// Longest deadline seen: that of callers' first attempts.
    Utils::Duration maxCallerTimeout {};
};

} // namespace Balancing
