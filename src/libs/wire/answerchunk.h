#pragma once

#include <cstdint>
#include <string>

namespace Wire {

/// Dispatcher to entry: the next bytes of an answer.
struct AnswerChunk {
    std::uint64_t request = 0;
    std::string bytes;

    bool operator==(const AnswerChunk&) const = default;
};

} // namespace Wire
