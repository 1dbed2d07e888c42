#pragma once

#include <utils/time.h>

namespace Requests {

/// What becomes of a failed attempt.
struct RetryDecision {
    /// Whether to send it again; else its caller gets its final answer now.
    bool retry = false;
    /// When to send it again.
    Utils::Instant at {};
    /// When the caller should come back, counted from now; only without \c retry.
    Utils::Duration retryAfter {};
};

} // namespace Requests
