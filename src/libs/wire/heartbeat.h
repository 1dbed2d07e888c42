#pragma once

#include <utils/ids.h>

#include <cstdint>

namespace Wire {

/// Where an instance stands; answered by one with the same sequence and \c answer set.
struct Heartbeat {
    std::uint64_t sequence = 0;
    bool answer = false;
    /// Offset of the last log record that the sender has applied.
    Utils::Offset applied = 0;
    /// Whether the sender is on its way out.
    bool leaving = false;

    bool operator==(const Heartbeat&) const = default;
};

} // namespace Wire
