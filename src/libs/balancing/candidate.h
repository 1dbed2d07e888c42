#pragma once

#include <balancing/distance.h>
#include <balancing/upstreamload.h>
#include <utils/ids.h>

namespace Balancing {

/// An upstream that is eligible for a request.
struct Candidate {
    Utils::UpstreamId id;
    const UpstreamLoad* load = nullptr;
    unsigned slots = 1;
    Distance distance = Distance::SameZone;
    /// Factor by which a cold start lengthens the latency; 1 if the upstream is warm.
    double coldStartFactor = 1;
};

} // namespace Balancing
