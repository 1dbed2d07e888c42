#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Routing {

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 64ULL << 20;
    /// From the first byte of a header to its last.
    Utils::Duration headerTime = std::chrono::seconds(3);
    Utils::Duration idleTime = std::chrono::seconds(15);

    bool operator==(const CallerLimits&) const = default;
};

} // namespace Routing
