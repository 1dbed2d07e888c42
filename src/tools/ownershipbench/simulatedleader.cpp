#include "simulatedleader.h"

#include <algorithm>
#include <optional>

namespace OwnershipBench {

namespace {

const Utils::ShardId shard { "orders/0" };

/// Whether the leader takes \a name for lost.
bool suspected(const SimulationState& world, const std::string& name)
{
    const Process& process = world.processes.at(name);
    const bool silent
        = process.isTerminated || world.now < process.frozenUntil || world.now < process.isolatedUntil;
    return silent && process.lastResponsiveAt != Utils::Instant::max()
        && world.now - process.lastResponsiveAt >= world.settings.lease.suspectAfter;
}

/// The first of \a preferred that is there, but for \a except.
std::string pick(
    const SimulationState& world, const std::vector<std::string>& preferred, const std::string& except = {})
{
    const std::vector<std::string>::const_iterator found = std::find_if(preferred.begin(), preferred.end(),
        [&](const std::string& name) { return !name.empty() && name != except && !suspected(world, name); });
    return found == preferred.end() ? std::string() : *found;
}

Agreement::VmStart startOf(const SimulationState& world, const std::string& vm)
{
    return vm.empty() ? Agreement::VmStart()
                      : Agreement::VmStart { { vm }, world.processes.at(vm).incarnation };
}

Agreement::FormerAssignment formerOf(const Agreement::PoolAssignment& record)
{
    return { record.token, record.dispatcher, record.successor, record.upstreams, record.shards };
}

bool replaced(const SimulationState& world, const std::string& name, Utils::Incarnation named)
{
    return !name.empty() && (suspected(world, name) || world.processes.at(name).incarnation != named);
}

bool outdated(const SimulationState& world, const Agreement::PoolAssignment& record)
{
    for (const Agreement::VmStart& vm : { record.dispatcher, record.successor }) {
        if (replaced(world, vm.vm.value, vm.incarnation))
            return true;
    }
    const Agreement::ShardAssignment& pair = record.shards.at(shard);
    for (const Utils::UpstreamId& upstream : { pair.owner, pair.standby }) {
        if (!upstream.value.empty() && replaced(world, upstream.value, record.upstreams.at(upstream)))
            return true;
    }
    return false;
}

} // namespace

void appendRecord(SimulationState& world)
{
    Agreement::PoolAssignment record;
    record.pool = { "orders" };
    record.token = world.log.size() + 1;
    std::vector<std::string> vms { "d1", "d2", "d3" };
    std::vector<std::string> upstreams { "A", "B", "C" };
    if (!world.log.empty()) {
        const Agreement::PoolAssignment& last = world.log.back();
        record.formers = last.formers;
        record.formers.push_back(formerOf(last));
        vms.insert(vms.begin(), last.dispatcher.vm.value);
        if (!world.lastServingUpstream.empty())
            upstreams.insert(upstreams.begin(), world.lastServingUpstream);
    }
    const std::string dispatcher = pick(world, vms);
    const std::string owner = pick(world, upstreams);
    record.dispatcher = startOf(world, dispatcher);
    record.shards[shard].owner = { owner };
    record.upstreams[{ owner }] = world.processes.at(owner).incarnation;
    if (world.settings.hasStandbys) {
        record.successor = startOf(world, pick(world, vms, dispatcher));
        const std::string standby = pick(world, upstreams, owner);
        record.shards[shard].standby = { standby };
        if (!standby.empty())
            record.upstreams[{ standby }] = world.processes.at(standby).incarnation;
    }
    world.log.push_back(record);
    world.readableAt.push_back(world.now + world.settings.logLatency);
}

void runLeader(SimulationState& world)
{
    const bool pending = world.readableAt.back() > world.now;
    if (world.now < world.logDownUntil || pending || !outdated(world, world.log.back()))
        return;
    appendRecord(world);
}

} // namespace OwnershipBench
