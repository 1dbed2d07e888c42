#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <string>

namespace Routing {

/// A service that is provided by upstreams.
struct Service {
    Utils::ServiceId id;
    std::string healthPath;
    /// Maximum number of connections that one upstream accepts in total; 0 is unlimited.
    unsigned maxConnections = 0;
    /// Whether each key belongs to one upstream at a time.
    bool keyed = false;
    /// How long requests for a key are slow at an upstream that received the key without a handover.
    Utils::Duration warmUp {};
    /// How long an upstream stays cold after its start.
    Utils::Duration coldTime {};
    /// Requests per second that a cold upstream takes from all VMs together; empty if it is not limited.
    std::optional<double> coldRequestsPerSecond;

    bool operator==(const Service&) const = default;
};

} // namespace Routing
