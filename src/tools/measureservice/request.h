#pragma once

#include "rankload.h"

#include <requests/work.h>
#include <utils/time.h>

namespace Measure {

/// A request of a caller, over all its attempts.
struct Request {
    Requests::Work work;
    RankLoad load;
    /// Number of its entry VM.
    unsigned entry = 0;
    unsigned attempts = 0;
    /// Times that it was sent to an upstream.
    unsigned sent = 0;
    Utils::Instant arrived {};
    Utils::Duration service {};
};

} // namespace Measure
