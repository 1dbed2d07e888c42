#pragma once

#include <routing/requestkind.h>
#include <routing/routedestination.h>
#include <utils/time.h>

#include <string>
#include <vector>

namespace Routing {

/// Which requests go where, and what they may cost.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Longest time that a request may be kept waiting.
    Utils::Duration timeout {};
    /// Latency within which a response has its full worth.
    Utils::Duration targetLatency {};
    /// Most upstreams that one attempt of a caller may be sent to.
    unsigned maxAttempts = 1;
    /// Rank; 0 is the most urgent.
    unsigned priority = 0;
    /// At least one; their weights add up to more than 0.
    std::vector<RouteDestination> destinations;

    bool operator==(const Route&) const = default;
};

} // namespace Routing
