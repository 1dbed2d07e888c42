#pragma once

#include <utils/time.h>

namespace Balancing {

/// How far the requests of all VMs together may exceed the rate that an upstream takes.
struct RequestBound {
    /// The bound holds in any window of this length.
    Utils::Duration window = std::chrono::seconds(4);
    /// Factor on the requests that the rate allows in a window.
    double excessFactor = 1.5;
    /// Requests in a window beyond that.
    double excessRequests = 5;
    /// A VM that does not know all members takes itself for a shareholder with this part of the chance of
    /// the others. Below 1, it mostly counts among the shareholders of those that know all members too.
    double partialViewShare = 1;
};

} // namespace Balancing
