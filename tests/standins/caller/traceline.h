#pragma once

#include <cstddef>

namespace StandInCaller {

/// The line of a trace that an error is about, from 1.
struct TraceLine {
    std::size_t number = 0;
};

} // namespace StandInCaller
