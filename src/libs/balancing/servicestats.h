#pragma once

#include <utils/time.h>

#include <map>

namespace Balancing {

/// Statistics of this VM for one service.
struct ServiceStats {
    /// Mean time of a request at an upstream of average speed, without waiting.
    Utils::Duration serviceTime = std::chrono::milliseconds(200);
    /// Mean number of requests of other VMs at one upstream of the service.
    double meanOtherVmRequests = 0;
    /// The longest queue that upstreams of the service have reported with a served request.
    unsigned longestServedQueue = 0;
    /// When an upstream last left a request without a response because its queue was full.
    Utils::Instant leftUnansweredAt {};
    /// When a request of a priority was last rejected for lack of room; 0 is the most urgent priority.
    std::map<unsigned, Utils::Instant> rejectedAt;
};

} // namespace Balancing
