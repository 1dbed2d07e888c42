#pragma once

#include <routing/requestkind.h>
#include <routing/routedestination.h>
#include <utils/time.h>

#include <string>
#include <vector>

namespace Routing {

/// Maps requests to services and sets their limits.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Longest time until a request must be completed.
    Utils::Duration timeout {};
    /// Latency within which a response counts as on time.
    Utils::Duration targetLatency {};
    /// Maximum number of upstreams that one attempt of a caller may be sent to.
    unsigned maxAttempts = 1;
    /// Priority rank; 0 is the most urgent.
    unsigned priority = 0;
    /// At least one; the sum of the weights is greater than 0.
    std::vector<RouteDestination> destinations;
    /// Regions whose upstreams may serve the requests; empty if all may.
    std::vector<Utils::RegionId> homeRegions;

    bool operator==(const Route&) const = default;
};

} // namespace Routing
