#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Logging {

/// How many lines may be written, so that a flood of requests can't become a flood of lines.
struct LineBudget {
    double lines = 0;
    Utils::Instant refilledAt {};
    /// Lines left out since the last one that was written.
    std::uint64_t dropped = 0;
};

/// Lines a second that are always written; a VM of a fifth of a core serves about a tenth as many requests.
inline constexpr double linesPerSecond = 500;
/// Lines that may come at once.
inline constexpr double burstOfLines = 2000;

/// Whether one more line may be written at \a now; counts it as dropped if not.
bool takeLine(LineBudget& budget, Utils::Instant now);

} // namespace Logging
