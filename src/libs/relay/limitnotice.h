#pragma once

#include <utils/ids.h>
#include <utils/time.h>

namespace Relay {

/// What an upstream's last response said of the requests that it takes from all VMs together.
struct LimitNotice {
    Utils::UpstreamId upstream;
    /// Requests per second.
    double perSecond = 0;
    /// False if the upstream names no limit any more.
    bool isNamed = false;
    /// Time since the response arrived.
    Utils::Duration age {};

    bool operator==(const LimitNotice&) const = default;
};

} // namespace Relay
