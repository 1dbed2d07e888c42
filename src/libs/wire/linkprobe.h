#pragma once

#include <cstdint>

namespace Wire {

/// Asks whether the link still carries anything; answered by one with the same number and \c answer set.
struct LinkProbe {
    std::uint64_t number = 0;
    bool answer = false;

    bool operator==(const LinkProbe&) const = default;
};

} // namespace Wire
