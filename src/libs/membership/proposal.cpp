#include <membership/proposal.h>

#include <declarations/keylookup.h>
#include <membership/health.h>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <vector>

namespace Membership {

namespace Internal {

using Agreement::AssignmentRecord;
using Agreement::PoolAssignment;
using Agreement::VmStart;

const PoolAssignment* currentOf(const ProposalInput& input)
{
    const auto found = input.agreed.assignments.find(input.pool);
    return found == input.agreed.assignments.end() ? nullptr : &found->second;
}

bool canKeep(const ProposalInput& input, const VmStart& start)
{
    const auto found = input.vms.find(start.vm);
    return found != input.vms.end() && found->second.incarnation == start.incarnation
        && !found->second.leaving;
}

/// The best VM outside \a excluded: in the wanted region, away from \a avoidedZone, with the fewest duties.
std::optional<VmStart> chooseVm(const ProposalInput& input, const Utils::RegionId& region,
    const Utils::ZoneId& avoidedZone, const Utils::VmId& excluded)
{
    std::set<Utils::VmId> names;
    for (const std::pair<const Utils::VmId, VmCandidate>& entry : input.vms) {
        if (!entry.second.leaving && entry.first != excluded)
            names.insert(entry.first);
    }
    std::optional<VmStart> best;
    std::tuple<bool, bool, unsigned> bestCost;
    for (const Utils::VmId& name : rendezvousOrder(names, input.pool.value)) {
        const VmCandidate& vm = input.vms.at(name);
        const std::tuple<bool, bool, unsigned> cost(vm.zone == avoidedZone, vm.region != region, vm.duties);
        if (!best || cost < bestCost) {
            best = VmStart { name, vm.incarnation };
            bestCost = cost;
        }
    }
    return best;
}

std::optional<VmStart> chooseDispatcher(const ProposalInput& input, const PoolAssignment* current)
{
    if (current != nullptr && canKeep(input, current->dispatcher))
        return current->dispatcher;
    if (current != nullptr && canKeep(input, current->successor))
        return current->successor;
    return chooseVm(input, input.configuration.pools.at(input.pool).region, {}, {});
}

VmStart chooseSuccessor(const ProposalInput& input, const PoolAssignment* current, const VmStart& dispatcher)
{
    if (current != nullptr && current->successor.vm != dispatcher.vm && canKeep(input, current->successor))
        return current->successor;
    const Utils::RegionId& region = input.configuration.pools.at(input.pool).region;
    const Utils::ZoneId& zone = input.vms.at(dispatcher.vm).zone;
    return chooseVm(input, region, zone, dispatcher.vm).value_or(VmStart {});
}

std::map<Utils::UpstreamId, Utils::Incarnation> usableUpstreams(const ProposalInput& input)
{
    std::map<Utils::UpstreamId, Utils::Incarnation> usable;
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry :
        input.configuration.pools.at(input.pool).upstreams) {
        const auto answering = input.upstreams.find(entry.first);
        if (!entry.second.leaving && answering != input.upstreams.end())
            usable[entry.first] = answering->second;
    }
    return usable;
}

std::vector<Utils::ShardId> shardsOf(const ProposalInput& input)
{
    std::vector<Utils::ShardId> shards;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry :
        input.configuration.keyRanges) {
        for (unsigned number = 0; entry.second.pool == input.pool && number < entry.second.shards; ++number)
            shards.push_back(Declarations::shardId(entry.second, number));
    }
    return shards;
}

/// Shards given to each usable upstream so far, weighted by its slots.
class Loads {
public:
    Loads(const ProposalInput& input, const std::map<Utils::UpstreamId, Utils::Incarnation>& usable)
        : upstreams(input.configuration.pools.at(input.pool).upstreams)
    {
        for (const std::pair<const Utils::UpstreamId, Utils::Incarnation>& entry : usable)
            this->counts[entry.first] = 0;
    }

    void add(const Utils::UpstreamId& upstream) { ++this->counts[upstream]; }

    bool knows(const Utils::UpstreamId& upstream) const { return this->counts.contains(upstream); }

    /// The least loaded upstream other than \a excluded, in another zone than it where there is one.
    Utils::UpstreamId least(const Utils::UpstreamId& excluded) const
    {
        Utils::UpstreamId best;
        std::tuple<bool, double> bestCost;
        for (const std::pair<const Utils::UpstreamId, unsigned>& entry : this->counts) {
            if (entry.first == excluded)
                continue;
            const std::tuple<bool, double> cost(
                this->sameZone(entry.first, excluded), this->loadOf(entry.first));
            if (best.value.empty() || cost < bestCost) {
                best = entry.first;
                bestCost = cost;
            }
        }
        return best;
    }

    double loadOf(const Utils::UpstreamId& upstream) const
    {
        return static_cast<double>(this->counts.at(upstream)) / this->upstreams.at(upstream).slots;
    }

    bool sameZone(const Utils::UpstreamId& first, const Utils::UpstreamId& second) const
    {
        const auto other = this->upstreams.find(second);
        return other != this->upstreams.end() && this->upstreams.at(first).zone == other->second.zone;
    }

private:
    const std::map<Utils::UpstreamId, Declarations::Upstream>& upstreams;
    std::map<Utils::UpstreamId, unsigned> counts;
};

Utils::UpstreamId keptOwner(const ProposalInput& input, const PoolAssignment* current,
    const Utils::ShardId& shard, const Loads& loads)
{
    const auto served = input.served.find(shard);
    if (served != input.served.end() && loads.knows(served->second))
        return served->second;
    if (current == nullptr)
        return {};
    const auto assigned = current->shards.find(shard);
    if (assigned == current->shards.end())
        return {};
    if (loads.knows(assigned->second.owner))
        return assigned->second.owner;
    return loads.knows(assigned->second.standby) ? assigned->second.standby : Utils::UpstreamId();
}

std::map<Utils::ShardId, Agreement::ShardAssignment> chooseShards(const ProposalInput& input,
    const PoolAssignment* current, const std::map<Utils::UpstreamId, Utils::Incarnation>& usable)
{
    std::map<Utils::ShardId, Agreement::ShardAssignment> result;
    Loads owners(input, usable);
    const std::vector<Utils::ShardId> shards = shardsOf(input);
    for (const Utils::ShardId& shard : shards) {
        result[shard].owner = keptOwner(input, current, shard, owners);
        if (!result[shard].owner.value.empty())
            owners.add(result[shard].owner);
    }
    Loads standbys(input, usable);
    for (const Utils::ShardId& shard : shards) {
        Agreement::ShardAssignment& assignment = result[shard];
        if (assignment.owner.value.empty()) {
            assignment.owner = owners.least({});
            owners.add(assignment.owner);
        }
        const auto former = current == nullptr ? result.end() : current->shards.find(shard);
        const bool hasFormer = current != nullptr && former != current->shards.end();
        const Utils::UpstreamId kept = hasFormer ? former->second.standby : Utils::UpstreamId();
        const bool keep
            = usable.contains(kept) && kept != assignment.owner && !standbys.sameZone(kept, assignment.owner);
        assignment.standby = keep ? kept : standbys.least(assignment.owner);
        if (!assignment.standby.value.empty())
            standbys.add(assignment.standby);
    }
    return result;
}

bool sameAsCurrent(const AssignmentRecord& record, const PoolAssignment* current)
{
    return current != nullptr && record.dispatcher == current->dispatcher
        && record.successor == current->successor && record.upstreams == current->upstreams
        && record.shards == current->shards;
}

} // namespace Internal

bool isProposer(const ProposalInput& input)
{
    const Agreement::PoolAssignment* current = Internal::currentOf(input);
    if (current != nullptr && input.vms.contains(current->dispatcher.vm))
        return current->dispatcher.vm == input.self;
    if (current != nullptr && input.vms.contains(current->successor.vm))
        return current->successor.vm == input.self;
    std::set<Utils::VmId> names;
    for (const std::pair<const Utils::VmId, VmCandidate>& entry : input.vms) {
        if (!entry.second.leaving)
            names.insert(entry.first);
    }
    const std::vector<Utils::VmId> order = rendezvousOrder(names, input.pool.value);
    return !order.empty() && order.front() == input.self;
}

std::optional<Agreement::AssignmentRecord> proposeAssignment(const ProposalInput& input)
{
    const Agreement::PoolAssignment* current = Internal::currentOf(input);
    const std::optional<Agreement::VmStart> dispatcher = Internal::chooseDispatcher(input, current);
    if (!dispatcher)
        return std::nullopt;
    Agreement::AssignmentRecord record;
    record.pool = input.pool;
    record.basedOn = current == nullptr ? 0 : current->token;
    record.dispatcher = *dispatcher;
    record.successor = Internal::chooseSuccessor(input, current, *dispatcher);
    record.upstreams = Internal::usableUpstreams(input);
    if (record.upstreams.empty())
        return std::nullopt;
    record.shards = Internal::chooseShards(input, current, record.upstreams);
    if (Internal::sameAsCurrent(record, current))
        return std::nullopt;
    return record;
}

} // namespace Membership
