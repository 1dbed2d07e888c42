#pragma once

#include <cstdint>

namespace Wire {

/// Dispatcher to entry: no more bytes follow.
struct AnswerEnd {
    std::uint64_t request = 0;
    /// Whether the whole answer was sent; an answer that broke off is never passed on as whole.
    bool whole = false;

    bool operator==(const AnswerEnd&) const = default;
};

} // namespace Wire
