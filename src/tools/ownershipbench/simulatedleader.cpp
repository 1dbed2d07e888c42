#include "simulatedleader.h"

#include <algorithm>
#include <optional>

namespace OwnershipBench {

namespace {

const Utils::ShardId shard { "orders/0" };

/// Whether the leader considers the process \a name terminated.
bool isSuspected(const SimulationState& state, const std::string& name)
{
    const Process& process = state.processes.at(name);
    const bool isUnresponsive
        = process.isTerminated || state.now < process.frozenUntil || state.now < process.isolatedUntil;
    return isUnresponsive && process.lastResponsiveAt != Utils::Instant::max()
        && state.now - process.lastResponsiveAt >= state.settings.lease.suspectAfter;
}

/// The first of \a preferred that is available, except \a except.
std::string pickProcess(
    const SimulationState& state, const std::vector<std::string>& preferred, const std::string& except = {})
{
    const std::vector<std::string>::const_iterator found
        = std::find_if(preferred.begin(), preferred.end(), [&](const std::string& name) {
              return !name.empty() && name != except && !isSuspected(state, name);
          });
    return found == preferred.end() ? std::string() : *found;
}

Agreement::VmStart makeVmStart(const SimulationState& state, const std::string& vm)
{
    return vm.empty() ? Agreement::VmStart()
                      : Agreement::VmStart { { vm }, state.processes.at(vm).incarnation };
}

Agreement::FormerAssignment toPreviousAssignment(const Agreement::PoolAssignment& record)
{
    return { record.token, record.dispatcher, record.successor, record.upstreams, record.shards };
}

bool needsReplacement(const SimulationState& state, const std::string& name, Utils::Incarnation named)
{
    return !name.empty() && (isSuspected(state, name) || state.processes.at(name).incarnation != named);
}

bool isOutdated(const SimulationState& state, const Agreement::PoolAssignment& record)
{
    for (const Agreement::VmStart& vm : { record.dispatcher, record.successor }) {
        if (needsReplacement(state, vm.vm.value, vm.incarnation))
            return true;
    }
    const Agreement::ShardAssignment& pair = record.shards.at(shard);
    for (const Utils::UpstreamId& upstream : { pair.owner, pair.standby }) {
        if (!upstream.value.empty() && needsReplacement(state, upstream.value, record.upstreams.at(upstream)))
            return true;
    }
    return false;
}

} // namespace

void appendRecord(SimulationState& state)
{
    Agreement::PoolAssignment record;
    record.pool = { "orders" };
    record.token = state.log.size() + 1;
    std::vector<std::string> vms { "d1", "d2", "d3" };
    std::vector<std::string> upstreams { "A", "B", "C" };
    if (!state.log.empty()) {
        const Agreement::PoolAssignment& last = state.log.back();
        record.formers = last.formers;
        record.formers.push_back(toPreviousAssignment(last));
        vms.insert(vms.begin(), last.dispatcher.vm.value);
        if (!state.lastServingUpstream.empty())
            upstreams.insert(upstreams.begin(), state.lastServingUpstream);
    }
    const std::string dispatcher = pickProcess(state, vms);
    const std::string owner = pickProcess(state, upstreams);
    record.dispatcher = makeVmStart(state, dispatcher);
    record.shards[shard].owner = { owner };
    record.upstreams[{ owner }] = state.processes.at(owner).incarnation;
    if (state.settings.hasStandbys) {
        record.successor = makeVmStart(state, pickProcess(state, vms, dispatcher));
        const std::string standby = pickProcess(state, upstreams, owner);
        record.shards[shard].standby = { standby };
        if (!standby.empty())
            record.upstreams[{ standby }] = state.processes.at(standby).incarnation;
    }
    state.log.push_back(record);
    state.readableAt.push_back(state.now + state.settings.logLatency);
}

void runLeader(SimulationState& state)
{
    const bool pending = state.readableAt.back() > state.now;
    if (state.now < state.logDownUntil || pending || !isOutdated(state, state.log.back()))
        return;
    appendRecord(state);
}

} // namespace OwnershipBench
