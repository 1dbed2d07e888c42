#pragma once

#include <utils/time.h>

namespace Requests {

/// What one rank may send over a link.
struct LinkLane {
    /// Bits a second that the rank can count on.
    double bitsPerSecond = 0;
    /// Most bits that it keeps for a burst.
    double burst = 0;
    /// Bits that it may send now; negative while a larger request is paid off.
    double bits = 0;
    Utils::Instant filledAt {};
};

} // namespace Requests
