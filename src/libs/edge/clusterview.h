#pragma once

#include <edge/pendingreport.h>
#include <granting/keyassignment.h>
#include <routing/callerlimithistory.h>
#include <routing/evacuations.h>
#include <routing/routetable.h>
#include <routing/upstreamdirectory.h>

#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
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
    /// The last report of each upstream and service that no configuration names; see pendingreports.h.
    std::map<std::pair<Utils::UpstreamId, Utils::ServiceId>, PendingReport> pendingReports;
    std::size_t pendingReportBytes = 0;
    /// Until then an upstream may be missing in the directory although its entry was read: another writer's
    /// report may have taken the place of its own.
    Utils::Instant mayMissUpstreamsUntil {};
    Routing::CallerLimitHistory callerLimits;
    /// The upstreams of each service that have not expired.
    std::unordered_map<Utils::ServiceId, std::vector<Utils::UpstreamId>> upstreamsByService;
    std::map<Utils::ServiceId, Granting::KeyAssignment> assignments;
    Routing::Evacuations evacuations;
    /// When this VM itself last read all records of the operator.
    Utils::Instant operatorRecordsReadAt {};
    /// Since when the configuration has been logged as unconfirmed; zero if it is not.
    Utils::Instant configurationUnconfirmedAt {};
};

} // namespace Edge
