#pragma once

#include <wire/httpheader.h>

#include <cstdint>
#include <vector>

namespace Wire {

/// Dispatcher to entry: the start of an upstream's answer.
struct AnswerHead {
    std::uint64_t request = 0;
    unsigned status = 0;
    std::vector<HttpHeader> headers;

    bool operator==(const AnswerHead&) const = default;
};

} // namespace Wire
