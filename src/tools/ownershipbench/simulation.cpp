#include "simulation.h"

#include "simulatedleader.h"
#include "simulationstate.h"

#include <ownership/granter.h>
#include <ownership/holder.h>

#include <algorithm>

namespace OwnershipBench {

namespace {

constexpr Utils::Duration step = std::chrono::milliseconds(1);
constexpr Utils::Instant start = Utils::Instant(std::chrono::hours(1));
const Utils::ShardId shard { "orders/0" };

bool isRunning(const SimulationState& state, const std::string& name)
{
    const Process& process = state.processes.at(name);
    return !process.isTerminated && state.now >= process.frozenUntil;
}

bool isReachable(const SimulationState& state, const std::string& name)
{
    const Process& process = state.processes.at(name);
    return !process.isTerminated && state.now >= process.isolatedUntil;
}

std::int64_t readHolderClock(const SimulationState& state, const std::string& upstream)
{
    return state.now.time_since_epoch().count() + state.clockOffsets.at(upstream);
}

void send(SimulationState& state, Delivery delivery)
{
    ++state.result.messages;
    if (!isReachable(state, delivery.from) || !isReachable(state, delivery.to))
        return;
    std::uniform_int_distribution<std::int64_t> latency(
        state.settings.minLatency.count(), state.settings.maxLatency.count());
    state.messagesInFlight.emplace(state.now + Utils::Duration(latency(state.random)), std::move(delivery));
}

void performActions(
    SimulationState& state, const std::string& vm, const std::vector<Ownership::Action>& actions)
{
    const Utils::Incarnation self = state.processes.at(vm).incarnation;
    for (const Ownership::Action& action : actions) {
        if (const Ownership::SendGrant* grant = std::get_if<Ownership::SendGrant>(&action))
            send(state, { vm, grant->upstream.value, self, 0, grant->queryId, grant->request });
        if (const Ownership::SendFence* fence = std::get_if<Ownership::SendFence>(&action))
            send(state, { vm, fence->upstream.value, self, 0, fence->queryId, fence->request });
        if (const Ownership::SendPeerMessage* peer = std::get_if<Ownership::SendPeerMessage>(&action))
            send(state, { vm, peer->to.vm.value, self, 0, 0, peer->message });
    }
}

void deliverToUpstream(SimulationState& state, const Delivery& delivery)
{
    Ownership::HolderState& holder = state.holders.at(delivery.to);
    const std::int64_t clock = readHolderClock(state, delivery.to);
    const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&delivery.body);
    const Ownership::HolderResponse response = grant != nullptr
        ? Ownership::applyGrant(holder, *grant, clock)
        : Ownership::applyFence(holder, std::get<Ownership::FenceRequest>(delivery.body), clock);
    send(state,
        { delivery.to, delivery.from, holder.incarnation, delivery.fromIncarnation, delivery.queryId,
            response });
}

void deliverToVm(SimulationState& state, const Delivery& delivery)
{
    Ownership::GranterState& granter = state.granters.at(delivery.to);
    if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&delivery.body)) {
        const Agreement::VmStart from { { delivery.from }, delivery.fromIncarnation };
        performActions(state, delivery.to, Ownership::onPeerMessage(granter, from, *peer, state.now));
        return;
    }
    if (delivery.toIncarnation != state.processes.at(delivery.to).incarnation)
        return;
    performActions(state, delivery.to,
        Ownership::onHolderResponse(granter, { delivery.from }, delivery.queryId,
            std::get<Ownership::HolderResponse>(delivery.body), state.now));
}

void deliverDueMessages(SimulationState& state)
{
    while (!state.messagesInFlight.empty() && state.messagesInFlight.begin()->first <= state.now) {
        const Delivery delivery = state.messagesInFlight.begin()->second;
        state.messagesInFlight.erase(state.messagesInFlight.begin());
        const Process& receiver = state.processes.at(delivery.to);
        if (!isReachable(state, delivery.to))
            continue;
        if (!isRunning(state, delivery.to))
            state.messagesInFlight.emplace(receiver.frozenUntil, delivery);
        else if (state.holders.contains(delivery.to))
            deliverToUpstream(state, delivery);
        else
            deliverToVm(state, delivery);
    }
}

void readLog(SimulationState& state, const std::string& vm)
{
    std::size_t& read = state.readRecordCounts[vm];
    while (read < state.log.size() && state.readableAt[read] <= state.now && state.now >= state.logDownUntil
        && isReachable(state, vm)) {
        Ownership::GranterOptions options;
        options.leasePolicy = state.settings.lease;
        const Agreement::VmStart self { { vm }, state.processes.at(vm).incarnation };
        performActions(state, vm,
            Ownership::installAssignment(state.granters.at(vm), state.log[read], self, options, state.now));
        ++read;
    }
}

void runVms(SimulationState& state)
{
    for (std::pair<const std::string, Ownership::GranterState>& entry : state.granters) {
        if (!isRunning(state, entry.first))
            continue;
        readLog(state, entry.first);
        if (Ownership::isDispatcherSuspected(entry.second, state.now))
            performActions(state, entry.first, Ownership::takeOver(entry.second, state.now));
        if (Ownership::nextTick(entry.second) <= state.now)
            performActions(state, entry.first, Ownership::tick(entry.second, state.now));
    }
}

void restart(SimulationState& state, const std::string& name)
{
    const Utils::Incarnation incarnation = ++state.processes.at(name).incarnation;
    if (state.holders.contains(name)) {
        state.holders[name] = {};
        state.holders[name].incarnation = incarnation;
        return;
    }
    state.granters[name] = {};
    state.granters[name].self = { { name }, incarnation };
    state.readRecordCounts[name] = 0;
}

void injectFault(SimulationState& state, const Fault& fault)
{
    if (fault.kind == FaultKind::LogDown) {
        state.logDownUntil = state.now + fault.duration;
        return;
    }
    Process& process = state.processes.at(fault.process);
    if (fault.kind == FaultKind::Terminate)
        process.isTerminated = true;
    if (fault.kind == FaultKind::Freeze)
        process.frozenUntil = state.now + fault.duration;
    if (fault.kind == FaultKind::Isolate)
        process.isolatedUntil = state.now + fault.duration;
    if (fault.kind == FaultKind::Restart)
        restart(state, fault.process);
    if (fault.kind == FaultKind::HandOver)
        performActions(state, fault.process, Ownership::stop(state.granters.at(fault.process), state.now));
    process.lastResponsiveAt = state.now;
}

/// The upstream that would execute a request now; empty if there is none.
std::string findExecutingUpstream(const SimulationState& state)
{
    for (const std::pair<const std::string, Ownership::GranterState>& entry : state.granters) {
        const std::optional<Ownership::ServingUpstream> serving
            = Ownership::findServingUpstream(entry.second, shard, state.now);
        if (!serving.has_value() || !isRunning(state, entry.first) || !isReachable(state, entry.first))
            continue;
        const std::string& upstream = serving->upstream.value;
        const bool executes = isRunning(state, upstream) && isReachable(state, upstream)
            && Ownership::checkRequest(
                   state.holders.at(upstream), shard, serving->level, readHolderClock(state, upstream))
                == Ownership::HolderVerdict::Accepted;
        if (executes)
            return upstream;
    }
    return {};
}

void updateResult(SimulationState& state)
{
    const std::string serving = findExecutingUpstream(state);
    if (serving.empty() && state.wasEverServed) {
        ++state.result.orphanedMs;
        ++state.currentOrphanedMs;
        state.result.maxOrphanedMs = std::max(state.result.maxOrphanedMs, state.currentOrphanedMs);
    }
    if (!serving.empty()) {
        if (state.wasEverServed && serving != state.lastServingUpstream)
            ++state.result.moves;
        state.wasEverServed = true;
        state.currentOrphanedMs = 0;
        state.lastServingUpstream = serving;
    }
    state.result.servedBy = serving;
    std::int64_t owners = 0;
    for (const std::pair<const std::string, Ownership::HolderState>& entry : state.holders) {
        if (entry.second.shards.contains(shard)
            && readHolderClock(state, entry.first) < entry.second.heldUntil)
            ++owners;
    }
    state.result.doubleOwners += owners > 1 ? 1 : 0;
}

SimulationState makeInitialState(const SimulationSettings& settings)
{
    SimulationState state;
    state.settings = settings;
    state.random.seed(settings.seed);
    state.now = start;
    std::uniform_int_distribution<std::int64_t> offset(0, 1'000'000'000);
    for (const std::string name : { "d1", "d2", "d3" }) {
        state.processes[name] = {};
        state.granters[name].self = { { name }, 1 };
    }
    for (const std::string name : { "A", "B", "C" }) {
        state.processes[name] = {};
        state.holders[name].incarnation = 1;
        state.clockOffsets[name] = offset(state.random);
    }
    appendRecord(state);
    state.readableAt.back() = start;
    return state;
}

} // namespace

SimulationResult runSimulation(const SimulationSettings& settings)
{
    SimulationState state = makeInitialState(settings);
    const Utils::Instant end = start + settings.duration;
    for (; state.now < end; state.now += step) {
        for (const Fault& fault : settings.faults) {
            if (start + fault.startsAfter <= state.now && state.now < start + fault.startsAfter + step)
                injectFault(state, fault);
        }
        deliverDueMessages(state);
        runVms(state);
        if (settings.hasLeader)
            runLeader(state);
        updateResult(state);
    }
    return state.result;
}

} // namespace OwnershipBench
