#pragma once

#include <routing/reportedload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// What one whole answer of an upstream shows.
struct ResponseSample {
    Utils::Duration latency {};
    /// Mean latency of requests on the same route; nothing for the route's first answer.
    std::optional<Utils::Duration> baselineLatency;
    /// The load that came with the answer.
    std::optional<Routing::ReportedLoad> reportedLoad;
    /// Not a failure of the upstream.
    bool succeeded = true;
};

} // namespace Balancing
