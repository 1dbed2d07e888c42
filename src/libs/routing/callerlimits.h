#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Routing {

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 64ULL << 20;
    /// From the first byte of a header to its last.
    Utils::Duration headerTimeout = std::chrono::seconds(3);
    Utils::Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits&) const = default;
};

} // namespace Routing
