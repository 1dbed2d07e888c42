#pragma once

#include <balancing/candidate.h>
#include <utils/time.h>

#include <cstddef>

namespace Balancing {

/// The upstream chosen for a request and the expected latency there.
struct Placement {
    /// Index into the list of candidates.
    std::size_t index = 0;
    Utils::Duration expectedLatency {};
    /// Estimated number of requests there.
    double load = 0;
};

} // namespace Balancing
