#pragma once

#include <balancing/candidate.h>
#include <utils/time.h>

#include <cstddef>

namespace Balancing {

/// Where a request goes, and when its answer can be expected.
struct Placement {
    /// Position among the candidates.
    std::size_t index = 0;
    Utils::Duration expectedLatency {};
};

} // namespace Balancing
