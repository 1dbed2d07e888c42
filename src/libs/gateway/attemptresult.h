#pragma once

#include <requests/reason.h>
#include <utils/time.h>

namespace Gateway {

/// How one attempt ended.
struct AttemptResult {
    /// Why the request was not done; None when its answer was written.
    Requests::Reason reason = Requests::Reason::None;
    /// When whoever refused it asked to be tried again.
    Utils::Duration retryAfter {};
    /// Whether the caller can still be written to.
    bool callerUsable = true;
};

} // namespace Gateway
