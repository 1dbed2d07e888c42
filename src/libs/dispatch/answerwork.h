#pragma once

#include <requests/reason.h>
#include <requests/work.h>
#include <utils/time.h>

namespace Dispatch {

/// Give the caller its final answer now; the outcome is \c Requests::outcomeOf(reason).
struct AnswerWork {
    Requests::WorkId work;
    Requests::Reason reason = Requests::Reason::None;
    /// When the caller should come back, counted from now.
    Utils::Duration retryAfter {};

    bool operator==(const AnswerWork&) const = default;
};

} // namespace Dispatch
