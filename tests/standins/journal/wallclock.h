#pragma once

#include <chrono>
#include <cstdint>

namespace Journal {

/// Microseconds since the epoch. Journals of several processes on one machine compare by it; nothing else
/// may.
inline std::int64_t wallClockMicroseconds()
{
    const std::chrono::system_clock::duration sinceEpoch
        = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

} // namespace Journal
