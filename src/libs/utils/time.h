#pragma once

#include <chrono>
#include <cstdint>

/// Time as decisions see it: always an argument, never read inside a decision.
namespace Utils {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point on one process's monotonic clock; points of two processes do not compare.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The process's monotonic clock, for the edges that carry events; decisions take the result as an argument.
inline Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Whole milliseconds in \a duration, rounded down.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Utils
