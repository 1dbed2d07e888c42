#pragma once

#include <utils/time.h>

namespace Balancing {

/// Whether a request is admitted, and if not, when its caller may come back.
struct AdmissionDecision {
    bool admitted = true;
    Utils::Duration retryAfter {};
};

} // namespace Balancing
