#pragma once

#include <utils/time.h>

namespace Dispatch {

/// Exponentially weighted mean of measured service times.
struct ServiceTime {
    Utils::Duration mean {};
    unsigned samples = 0;
    Utils::Instant learnedAt {};
};

} // namespace Dispatch
