#pragma once

#include <routing/reportedload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// Measurements from one complete response of an upstream.
struct ResponseSample {
    Utils::Duration latency {};
    /// Mean latency of requests on the same route; empty for the first response on the route.
    std::optional<Utils::Duration> baselineLatency;
    /// The load that the upstream reported with the response.
    std::optional<Routing::ReportedLoad> reportedLoad;
    /// The response does not report a failure of the upstream.
    bool succeeded = true;
};

} // namespace Balancing
