#pragma once

#include <utils/time.h>

namespace Routing {

/// Limits that the platform guarantees or requires; read from the settings.
struct OperatingLimits {
    /// Time from SIGTERM to SIGKILL.
    Utils::Duration terminationGracePeriod = std::chrono::seconds(6);
    /// Time within which a configuration change must be in force.
    Utils::Duration configurationApplyTimeout = std::chrono::milliseconds(2500);
    /// Time after which a draining upstream must receive no new requests.
    Utils::Duration drainTimeout = std::chrono::milliseconds(2500);
    /// Longest key lease that a single grant may give.
    Utils::Duration maxKeyLease = std::chrono::seconds(10);
    /// Retries allowed per request of a service, over all VMs.
    double retryRatio = 0.2;
    /// Additional retries allowed per window, over all VMs.
    double retrySlack = 60;
    /// Window over which retries are counted.
    Utils::Duration retryWindow = std::chrono::seconds(10);
    /// Factor by which the requests that reach a cold upstream in one second may exceed its rate.
    double coldExcessFactor = 1;
    /// Requests that may reach a cold upstream in one second beyond that.
    double coldExcessRequests = 0;
    /// Time after which an evacuated availability zone must receive no new requests.
    Utils::Duration evacuationTimeout = std::chrono::seconds(5);

    bool operator==(const OperatingLimits&) const = default;
};

} // namespace Routing
