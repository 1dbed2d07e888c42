#pragma once

#include <granting/keyassignment.h>
#include <routing/routetable.h>
#include <routing/upstreamdirectory.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Edge {

/// What this VM takes to be in force, all of it read from the store.
struct ClusterView {
    /// Null until a configuration is known.
    std::shared_ptr<const Routing::RouteTable> routeTable;
    Routing::UpstreamDirectory directory;
    bool directoryLoaded = false;
    /// Upstreams that were reported for each service.
    std::unordered_map<Utils::ServiceId, std::vector<Utils::UpstreamId>> upstreamsByService;
    std::map<Utils::ServiceId, Granting::KeyAssignment> assignments;
};

} // namespace Edge
