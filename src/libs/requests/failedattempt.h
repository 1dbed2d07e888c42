#pragma once

#include <requests/reason.h>
#include <utils/time.h>

#include <cstdint>

namespace Requests {

/// An attempt that was not done, as the entry VM sees it.
struct FailedAttempt {
    Reason reason = Reason::None;
    /// When whoever refused it asked to be tried again; zero if it didn't say.
    Utils::Duration retryAfter {};
    /// Attempts that the entry VM made of this request, the failed one included.
    unsigned attempts = 1;
    bool idempotent = true;
    /// Whether part of an answer has gone to the caller.
    bool answerBegun = false;
    Utils::Instant deadline {};
    /// For the jitter; differs from request to request.
    std::uint64_t seed = 0;
};

} // namespace Requests
