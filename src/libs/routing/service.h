#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <string>

namespace Routing {

/// A service that upstreams belong to.
struct Service {
    Utils::ServiceId id;
    std::string healthPath;
    /// Connections that one upstream takes from all callers together; 0 is unlimited.
    unsigned maxConnections = 0;
    /// Whether each key belongs to one upstream at a time.
    bool keyed = false;
    /// How long keys are slow at an upstream that got them without a handover.
    Utils::Duration warmUp {};

    bool operator==(const Service&) const = default;
};

} // namespace Routing
