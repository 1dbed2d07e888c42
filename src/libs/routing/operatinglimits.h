#pragma once

#include <utils/time.h>

namespace Routing {

/// What the operators of the platform promise and ask for; read from the settings.
struct OperatingLimits {
    /// From SIGTERM to SIGKILL.
    Utils::Duration terminationGracePeriod = std::chrono::seconds(6);
    /// Until when a change of configuration is to be in force.
    Utils::Duration configurationApplyTimeout = std::chrono::milliseconds(2500);
    /// Until when no new work reaches an upstream that leaves.
    Utils::Duration drainTimeout = std::chrono::milliseconds(2500);
    /// Longest time for which keys may be granted at once.
    Utils::Duration maxKeyLease = std::chrono::seconds(10);
    /// Repeats allowed for each request of a service, over all VMs.
    double retryRatio = 0.2;
    /// Repeats allowed besides, over all VMs.
    double retrySlack = 60;
    /// Span over which repeats are counted.
    Utils::Duration retryWindow = std::chrono::seconds(10);

    bool operator==(const OperatingLimits&) const = default;
};

} // namespace Routing
