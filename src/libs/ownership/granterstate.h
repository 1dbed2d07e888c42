#pragma once

#include <agreement/poolassignment.h>
#include <agreement/vmstart.h>
#include <ownership/pendingquery.h>
#include <ownership/granteroptions.h>
#include <ownership/granterrole.h>
#include <ownership/grantlevel.h>
#include <ownership/peerview.h>
#include <ownership/shardview.h>
#include <ownership/upstreamview.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Ownership {

/// State that one incarnation of a VM keeps about the grants of one pool. It is kept for as long as the
/// process runs, even when the VM is no longer named in the assignment.
struct GranterState {
    Agreement::VmStart self;
    GranterOptions options;
    Agreement::PoolAssignment assignment;
    GranterRole role = GranterRole::NotNamed;
    /// The level at which the VM grants, while its role is Granting.
    GrantLevel level;
    /// The highest level seen so far; the VM neither grants nor attests below it.
    GrantLevel highestKnownLevel;
    Utils::Instant grantingSince {};
    /// When the dispatcher last requested an attestation.
    std::optional<Utils::Instant> lastDispatcherContactAt;
    /// Assignments whose granters may still be active, oldest first.
    std::vector<Agreement::FormerAssignment> previousAssignments;
    std::map<Utils::UpstreamId, UpstreamView> upstreams;
    std::map<Agreement::VmStart, PeerView> peers;
    std::map<Utils::ShardId, ShardView> shards;
    /// Shards that this VM sends requests for, and their upstreams.
    std::map<Utils::ShardId, Utils::UpstreamId> servedShards;
    /// Latest expiry of all grants of this incarnation, for each upstream.
    std::map<Utils::UpstreamId, Utils::Instant> grantedUntil;
    std::uint64_t lastQueryId = 0;
    std::map<std::uint64_t, PendingQuery> pendingQueries;
    Utils::Instant nextTickAt = Utils::Instant::max();

    bool operator==(const GranterState&) const = default;
};

} // namespace Ownership
