#pragma once

#include <cstdint>

namespace Wire {

/// Entry to dispatcher: so many bytes of the answer have been passed on to the caller.
struct AnswerCredit {
    std::uint64_t request = 0;
    std::uint64_t bytes = 0;

    bool operator==(const AnswerCredit&) const = default;
};

} // namespace Wire
