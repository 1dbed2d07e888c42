#pragma once

#include <granting/keyassignment.h>
#include <routing/callerlimithistory.h>
#include <routing/evacuations.h>
#include <routing/routetable.h>
#include <routing/upstreamdirectory.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Edge {

/// The state of the cluster as this VM knows it, read from the store or received from a relay source.
struct ClusterView {
    /// Null until a configuration has been read.
    std::shared_ptr<const Routing::RouteTable> routeTable;
    /// When the configuration was put in force.
    Utils::Instant routeTableSince {};
    Routing::UpstreamDirectory directory;
    bool directoryLoaded = false;
    Routing::CallerLimitHistory callerLimits;
    /// The upstreams of each service that have not expired.
    std::unordered_map<Utils::ServiceId, std::vector<Utils::UpstreamId>> upstreamsByService;
    std::map<Utils::ServiceId, Granting::KeyAssignment> assignments;
    Routing::Evacuations evacuations;
    /// When this VM itself last read all records of the operator.
    Utils::Instant operatorRecordsReadAt {};
};

} // namespace Edge
