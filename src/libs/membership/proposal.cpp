#include <membership/proposal.h>

#include <agreement/rangerules.h>
#include <placement/choosedispatchers.h>
#include <placement/placeshards.h>
#include <placement/proposerorder.h>

#include <vector>

namespace Membership {

namespace Internal {

using Agreement::AssignmentRecord;
using Agreement::PoolAssignment;
using Placement::DispatchPair;

const PoolAssignment* currentOf(const ProposalInput& input)
{
    const auto found = input.log.agreed.assignments.find(input.pool);
    return found == input.log.agreed.assignments.end() ? nullptr : &found->second;
}

const Declarations::UpstreamPool* declaredOf(const ProposalInput& input)
{
    const auto found = input.log.configuration->pools.find(input.pool);
    return found == input.log.configuration->pools.end() ? nullptr : &found->second;
}

/// VMs that may be given duties.
std::vector<Placement::VmCandidate> dispatchCandidates(const ProposalInput& input)
{
    std::vector<Placement::VmCandidate> result;
    for (const std::pair<const Utils::VmId, VmCandidate>& entry : input.vms) {
        if (!entry.second.leaving)
            result.push_back(entry.second.place);
    }
    return result;
}

/// VMs that may propose.
std::vector<Placement::VmCandidate> proposingCandidates(const ProposalInput& input)
{
    std::vector<Placement::VmCandidate> result;
    for (const std::pair<const Utils::VmId, VmCandidate>& entry : input.vms) {
        if (input.proposers.contains(entry.first))
            result.push_back(entry.second.place);
    }
    return result;
}

/// The pair that the pool should have; nothing when there is no VM for it.
std::optional<DispatchPair> choosePair(const ProposalInput& input)
{
    Placement::DispatchInput wanted;
    wanted.vms = dispatchCandidates(input);
    for (const std::pair<const Utils::PoolId, Declarations::UpstreamPool>& entry :
        input.log.configuration->pools)
        wanted.pools[entry.first] = entry.second.region;
    for (const std::pair<const Utils::PoolId, PoolAssignment>& entry : input.log.agreed.assignments) {
        wanted.pools.try_emplace(entry.first);
        wanted.present[entry.first] = { entry.second.dispatcher, entry.second.successor };
    }
    const std::map<Utils::PoolId, DispatchPair> chosen = Placement::chooseDispatchers(wanted);
    const auto found = chosen.find(input.pool);
    return found == chosen.end() ? std::nullopt : std::optional<DispatchPair>(found->second);
}

/// The upstreams that may own shards: declared, not leaving, and answering.
std::map<Utils::UpstreamId, Declarations::Upstream> usableUpstreams(const ProposalInput& input)
{
    std::map<Utils::UpstreamId, Declarations::Upstream> usable;
    const Declarations::UpstreamPool* declared = declaredOf(input);
    if (declared == nullptr)
        return usable;
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : declared->upstreams) {
        if (!entry.second.leaving && input.upstreams.contains(entry.first))
            usable.insert(entry);
    }
    return usable;
}

/// Where the shards are: as agreed, but for owners that have been seen to differ.
std::map<Utils::ShardId, Agreement::ShardAssignment> presentShards(const ProposalInput& input)
{
    const PoolAssignment* current = currentOf(input);
    if (current == nullptr)
        return {};
    std::map<Utils::ShardId, Agreement::ShardAssignment> present = current->shards;
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : input.served) {
        const auto found = present.find(entry.first);
        if (found == present.end() || found->second.owner == entry.second)
            continue;
        found->second.standby = found->second.owner;
        found->second.owner = entry.second;
    }
    return present;
}

Declarations::PlacementPolicy placementPolicyOf(const ProposalInput& input)
{
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry :
        input.log.configuration->keyRanges) {
        if (entry.second.pool != input.pool)
            continue;
        const Declarations::Service& service = input.log.configuration->services.at(entry.second.service);
        return input.log.configuration->policies.at(service.policy).placement;
    }
    return {};
}

std::map<Utils::ShardId, Agreement::ShardAssignment> chooseShards(
    const ProposalInput& input, const std::map<Utils::UpstreamId, Declarations::Upstream>& usable)
{
    Placement::PlacementInput wanted;
    wanted.upstreams = usable;
    wanted.shards = Agreement::assignableShards(input.log, input.pool);
    wanted.present = presentShards(input);
    wanted.policy = placementPolicyOf(input);
    const PoolAssignment* current = currentOf(input);
    // Moves for the sake of balance wait until the last change has settled.
    if (current != nullptr && !current->formers.empty())
        wanted.policy.moveBudget = 0;
    return Placement::placeShards(wanted).shards;
}

/// Whether every shard is served where \a record wants it, as far as that is known.
bool servedAsWanted(const ProposalInput& input, const AssignmentRecord& record)
{
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : input.served) {
        const auto wanted = record.shards.find(entry.first);
        if (wanted != record.shards.end() && wanted->second.owner != entry.second)
            return false;
    }
    return true;
}

bool sameAsCurrent(const ProposalInput& input, const AssignmentRecord& record, const PoolAssignment* current)
{
    return current != nullptr && servedAsWanted(input, record) && record.dispatcher == current->dispatcher
        && record.successor == current->successor && record.upstreams == current->upstreams
        && record.shards == current->shards;
}

} // namespace Internal

bool isProposer(const ProposalInput& input)
{
    const Agreement::PoolAssignment* current = Internal::currentOf(input);
    Placement::DispatchPair present;
    if (current != nullptr)
        present = { current->dispatcher, current->successor };
    const std::vector<Agreement::VmStart> order
        = Placement::proposerOrder(input.pool, present, Internal::proposingCandidates(input));
    return !order.empty() && order.front().vm == input.self;
}

std::optional<Agreement::AssignmentRecord> proposeAssignment(const ProposalInput& input)
{
    const Agreement::PoolAssignment* current = Internal::currentOf(input);
    const std::optional<Placement::DispatchPair> pair = Internal::choosePair(input);
    if (!pair)
        return std::nullopt;
    Agreement::AssignmentRecord record;
    record.pool = input.pool;
    record.basedOn = current == nullptr ? 0 : current->token;
    record.dispatcher = pair->dispatcher;
    record.successor = pair->successor;
    const std::map<Utils::UpstreamId, Declarations::Upstream> usable = Internal::usableUpstreams(input);
    // A declared pool without usable upstreams keeps what it has: they may come back.
    if (usable.empty() && Internal::declaredOf(input) != nullptr)
        return std::nullopt;
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : usable)
        record.upstreams[entry.first] = input.upstreams.at(entry.first);
    if (!usable.empty())
        record.shards = Internal::chooseShards(input, usable);
    if (Internal::sameAsCurrent(input, record, current))
        return std::nullopt;
    return record;
}

} // namespace Membership
