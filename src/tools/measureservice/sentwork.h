#pragma once

#include <utils/time.h>

namespace Measure {

/// A work that was sent to an upstream and has no result yet.
struct SentWork {
    unsigned upstream = 0;
    Utils::Instant sentAt {};
};

} // namespace Measure
