#pragma once

#include <utils/time.h>

namespace Balancing {

/// Whether a request is admitted, and if not, after what time its caller may retry.
struct AdmissionDecision {
    bool admitted = true;
    Utils::Duration retryAfter {};
    /// Rejected to leave room for more urgent requests.
    bool yielded = false;
};

} // namespace Balancing
