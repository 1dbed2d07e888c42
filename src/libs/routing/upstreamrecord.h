#pragma once

#include <routing/endpoint.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Routing {

/// The last report of an upstream about itself.
struct UpstreamRecord {
    Utils::UpstreamId id;
    Utils::ServiceId service;
    Utils::ZoneId zone;
    Endpoint endpoint;
    /// Number of requests that the upstream runs concurrently.
    unsigned slots = 1;
    bool draining = false;
    /// Remaining time of the cold start, during which the upstream is slow.
    Utils::Duration remainingColdTime {};
    /// Sequence number of the report since the start of the upstream.
    std::uint64_t sequence = 0;
    /// Start time in milliseconds since the Unix epoch; distinguishes restarts under the same id.
    std::uint64_t startTimeMs = 0;

    bool operator==(const UpstreamRecord&) const = default;
};

} // namespace Routing
