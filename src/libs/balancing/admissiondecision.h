#pragma once

#include <utils/time.h>

namespace Balancing {

/// Whether a request is admitted, and if not, after what time its caller may retry.
struct AdmissionDecision {
    bool admitted = true;
    Utils::Duration retryAfter {};
};

} // namespace Balancing
