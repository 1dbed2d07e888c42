#pragma once

#include <routing/endpoint.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

namespace Routing {

/// What an upstream last said of itself.
struct UpstreamRecord {
    Utils::UpstreamId id;
    Utils::ServiceId service;
    Utils::ZoneId zone;
    Endpoint endpoint;
    /// Requests that it runs at a time.
    unsigned slots = 1;
    bool draining = false;
    /// How much longer it stays slow after its start.
    Utils::Duration remainingColdTime {};
    /// Counts its reports from its start on.
    std::uint64_t sequence = 0;
    /// Unix millisecond of its start; tells one start from another under the same id.
    std::uint64_t startTimeMs = 0;

    bool operator==(const UpstreamRecord&) const = default;
};

} // namespace Routing
