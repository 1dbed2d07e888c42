#pragma once

#include <routing/upstreamrecord.h>

#include <optional>

namespace Routing {

/// One upstream as the directory knows it.
struct DirectoryEntry {
    UpstreamRecord record;
    /// Position of the report in its stream.
    Utils::Offset offset = 0;
    Utils::Instant reportedAt {};
    /// When its entry was found missing; it may come back until the grace after a disturbance is over.
    std::optional<Utils::Instant> missingSince;
    /// Missing without a disturbance of the store, or for longer than the grace: never to be used again.
    bool isExpired = false;
    /// Its process has certainly ended: another is at its address.
    bool isTerminated = false;
};

} // namespace Routing
