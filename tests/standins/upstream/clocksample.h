#pragma once

#include <cstdint>

namespace StandInUpstream {

/// Two clocks read at one moment, in microseconds.
struct ClockSample {
    std::int64_t holder = 0;
    std::int64_t wall = 0;
};

} // namespace StandInUpstream
