#pragma once

#include <utils/ids.h>
#include <utils/time.h>

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

    bool operator==(const Service&) const = default;
};

} // namespace Routing
