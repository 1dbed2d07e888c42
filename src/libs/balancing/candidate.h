#pragma once

#include <balancing/distance.h>
#include <balancing/upstreamload.h>
#include <utils/ids.h>

namespace Balancing {

/// One upstream that a request may go to.
struct Candidate {
    Utils::UpstreamId id;
    const UpstreamLoad* load = nullptr;
    unsigned slots = 1;
    Distance distance = Distance::SameZone;
    /// How many times longer it takes while it is cold.
    double coldStartFactor = 1;
};

} // namespace Balancing
