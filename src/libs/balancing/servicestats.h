#pragma once

#include <utils/time.h>

namespace Balancing {

/// What this VM has seen of one service as a whole.
struct ServiceStats {
    /// Mean time of a request at an upstream of usual speed, without waiting.
    Utils::Duration serviceTime = std::chrono::milliseconds(200);
    /// Mean requests of other VMs at one of its upstreams.
    double meanOtherVmRequests = 0;
};

} // namespace Balancing
