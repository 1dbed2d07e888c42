#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Edge {

/// What this VM knows itself of the cold time of an upstream.
struct ColdState {
    /// The process with this start time has said that it is cold until then.
    Utils::Instant until {};
    std::uint64_t startTimeMs = 0;
    /// The last connection that the upstream refused; empty once another one was made.
    Utils::Instant refusedAt {};
    /// It was reached again after that, so that a new process may have started. Applies until its next
    /// report.
    Utils::Instant backSince {};
};

} // namespace Edge
