#pragma once

#include <utils/time.h>

namespace Requests {

/// Whether a request may cross a metered link.
struct LinkDecision {
    bool allowed = false;
    /// When to come back, counted from now, if it may not; the reason is \c Reason::LinkBudget.
    Utils::Duration retryAfter {};
};

} // namespace Requests
