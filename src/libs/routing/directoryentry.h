#pragma once

#include <routing/upstreamrecord.h>

#include <optional>

namespace Routing {

/// State of one upstream in the directory.
struct DirectoryEntry {
    UpstreamRecord record;
    /// Offset of the report in its stream.
    Utils::Offset offset = 0;
    Utils::Instant reportedAt {};
    /// When the entry was found missing. After a store outage it may reappear until the grace period is over.
    std::optional<Utils::Instant> missingSince;
    /// Missing without a store outage, or for longer than the grace period; not used until a newer report
    /// arrives.
    bool isExpired = false;
    /// The process has certainly terminated, because another upstream uses its address.
    bool isTerminated = false;
};

} // namespace Routing
