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

/// All that one start of a VM remembers about one pool's grants. It is kept for as long as the process runs,
/// also when the VM is no longer named.
struct GranterState {
    Agreement::VmStart self;
    GranterOptions options;
    Agreement::PoolAssignment assignment;
    GranterRole role = GranterRole::NotNamed;
    /// The level at which it grants, when it does.
    GrantLevel level;
    /// The highest level that it has heard of; it grants and attests nothing below.
    GrantLevel highestKnownLevel;
    Utils::Instant grantingSince {};
    /// When the dispatcher last asked it to attest.
    std::optional<Utils::Instant> lastDispatcherContactAt;
    /// Assignments whose granters may still be at work, oldest first.
    std::vector<Agreement::FormerAssignment> previousAssignments;
    std::map<Utils::UpstreamId, UpstreamView> upstreams;
    std::map<Agreement::VmStart, PeerView> peers;
    std::map<Utils::ShardId, ShardView> shards;
    /// Shards that it passes requests for.
    std::map<Utils::ShardId, Utils::UpstreamId> servedShards;
    /// Latest end of all that this start ever granted, for each upstream.
    std::map<Utils::UpstreamId, Utils::Instant> grantedUntil;
    std::uint64_t lastQueryId = 0;
    std::map<std::uint64_t, PendingQuery> pendingQueries;
    Utils::Instant nextTickAt = Utils::Instant::max();

    bool operator==(const GranterState&) const = default;
};

} // namespace Ownership
