#pragma once

#include <chrono>
#include <cstdint>

namespace StandInServer {

/// Keys that a server was granted.
struct HeldKeys {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t token = 0;
    std::chrono::steady_clock::time_point until;
};

} // namespace StandInServer
