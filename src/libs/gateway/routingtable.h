#pragma once

#include <declarations/configuration.h>
#include <gateway/poolroute.h>
#include <gateway/vmplace.h>
#include <utils/ids.h>

#include <map>
#include <memory>

namespace Gateway {

/// What an entry VM needs to find the dispatcher of a key. Immutable once published to the network thread.
struct RoutingTable {
    /// Null until a configuration is in force.
    std::shared_ptr<const Declarations::Configuration> configuration;
    Utils::Offset configurationOffset = 0;
    std::map<Utils::PoolId, PoolRoute> pools;
    std::map<Utils::VmId, VmPlace> vms;
};

} // namespace Gateway
