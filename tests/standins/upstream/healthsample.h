#pragma once

#include <chrono>

namespace StandInUpstream {

/// What the health endpoint tells.
struct HealthSample {
    std::chrono::steady_clock::time_point at;
    unsigned running = 0;
    bool draining = false;
};

} // namespace StandInUpstream
