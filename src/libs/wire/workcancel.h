#pragma once

#include <cstdint>

namespace Wire {

/// Entry to dispatcher: the caller has left.
struct WorkCancel {
    std::uint64_t request = 0;

    bool operator==(const WorkCancel&) const = default;
};

} // namespace Wire
