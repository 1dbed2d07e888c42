#pragma once

#include <routing/toldload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// What this VM believes of one upstream's load, speed and soundness.
struct UpstreamLoad {
    /// Requests of this VM that the upstream has and has not answered.
    unsigned outstanding = 0;
    /// Requests of other VMs there, by the last load that it told.
    double othersWhenTold = 0;
    Utils::Instant toldAt {};
    /// How many times longer it takes for a request than upstreams of its service usually do.
    double slowness = 1;
    /// Failures since the last good answer.
    unsigned failuresInRow = 0;
    /// Not chosen before this time while others can be.
    Utils::Instant avoidUntil {};
    /// Share of its recent answers that were failures, 0..1.
    double failureShare = 0;
    /// When it last answered anything.
    Utils::Instant answeredAt {};
    /// When the oldest request without any answer since was sent; nothing while none waits.
    std::optional<Utils::Instant> silentSince;
};

} // namespace Balancing
