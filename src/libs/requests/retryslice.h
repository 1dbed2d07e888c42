#pragma once

#include <cstdint>

namespace Requests {

/// What was sent in one slice of a retry window.
struct RetrySlice {
    /// Number of the slice since the clock's start.
    std::int64_t number = -1;
    unsigned firstAttempts = 0;
    unsigned retries = 0;
};

} // namespace Requests
