#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Routing {

/// Size limits and timeouts of requests from callers.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 64ULL << 20;
    /// Time from the first to the last byte of a header.
    Utils::Duration headerTimeout = std::chrono::seconds(3);
    Utils::Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits&) const = default;
};

} // namespace Routing
