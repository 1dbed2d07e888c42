#pragma once

#include <requests/reason.h>
#include <utils/time.h>

#include <cstdint>

namespace Wire {

/// Dispatcher to entry: not done, and why.
struct WorkRefused {
    std::uint64_t request = 0;
    Requests::Reason reason = Requests::Reason::None;
    /// When to come back.
    Utils::Duration retryAfter {};

    bool operator==(const WorkRefused&) const = default;
};

} // namespace Wire
