#pragma once

#include <agreement/logstate.h>
#include <membership/vmcandidate.h>
#include <utils/ids.h>

#include <map>
#include <set>

namespace Membership {

/// What a VM knows when it considers a new assignment of one pool.
struct ProposalInput {
    /// The agreed state; a configuration is in force.
    const Agreement::LogState& log;
    Utils::PoolId pool;
    Utils::VmId self;
    /// VMs that are alive, this one among them.
    std::map<Utils::VmId, VmCandidate> vms;
    /// The VMs that may propose for the pool: its pair and its watchers.
    std::set<Utils::VmId> proposers;
    /// The start of each upstream that answers.
    std::map<Utils::UpstreamId, Utils::Incarnation> upstreams;
    /// Where shards are served now, as far as this VM knows; it comes before the agreed owner.
    std::map<Utils::ShardId, Utils::UpstreamId> served;
};

} // namespace Membership
