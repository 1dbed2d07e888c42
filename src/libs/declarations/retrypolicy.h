#pragma once

#include <utils/time.h>

namespace Declarations {

/// How an entry VM repeats work that was not run.
struct RetryPolicy {
    /// Attempts of one request, the first included.
    unsigned maxAttempts = 3;
    /// Wait before the second attempt; doubled for each further one, with jitter.
    Utils::Duration firstBackoff = std::chrono::milliseconds(20);
    /// Longest wait between two attempts.
    Utils::Duration maxBackoff = std::chrono::milliseconds(500);

    bool operator==(const RetryPolicy&) const = default;
};

} // namespace Declarations
