#pragma once

#include <balancing/distance.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// What this VM knows of another VM that may send requests to upstreams for it.
struct PeerLoad {
    /// Empty until the other VM has answered.
    std::optional<Distance> distance;
    /// Requests that the other VM handles for this one.
    unsigned outstanding = 0;
    /// The other VM is not used before: it was unreachable, or reaches no upstream either.
    Utils::Instant avoidedUntil {};
    /// Empty until the other VM has answered.
    Utils::ZoneId zone {};
};

} // namespace Balancing
