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

bool running(const SimulationState& world, const std::string& name)
{
    const Process& process = world.processes.at(name);
    return !process.isTerminated && world.now >= process.frozenUntil;
}

bool reachable(const SimulationState& world, const std::string& name)
{
    const Process& process = world.processes.at(name);
    return !process.isTerminated && world.now >= process.isolatedUntil;
}

std::int64_t clockOf(const SimulationState& world, const std::string& upstream)
{
    return world.now.time_since_epoch().count() + world.clockOffsets.at(upstream);
}

void send(SimulationState& world, Delivery delivery)
{
    ++world.result.messages;
    if (!reachable(world, delivery.from) || !reachable(world, delivery.to))
        return;
    std::uniform_int_distribution<std::int64_t> latency(
        world.settings.minLatency.count(), world.settings.maxLatency.count());
    world.messagesInFlight.emplace(world.now + Utils::Duration(latency(world.random)), std::move(delivery));
}

void perform(SimulationState& world, const std::string& vm, const std::vector<Ownership::Action>& actions)
{
    const Utils::Incarnation self = world.processes.at(vm).incarnation;
    for (const Ownership::Action& action : actions) {
        if (const Ownership::SendGrant* grant = std::get_if<Ownership::SendGrant>(&action))
            send(world, { vm, grant->upstream.value, self, 0, grant->queryId, grant->request });
        if (const Ownership::SendFence* fence = std::get_if<Ownership::SendFence>(&action))
            send(world, { vm, fence->upstream.value, self, 0, fence->queryId, fence->request });
        if (const Ownership::SendPeerMessage* peer = std::get_if<Ownership::SendPeerMessage>(&action))
            send(world, { vm, peer->to.vm.value, self, 0, 0, peer->message });
    }
}

void deliverToUpstream(SimulationState& world, const Delivery& delivery)
{
    Ownership::HolderState& holder = world.holders.at(delivery.to);
    const std::int64_t clock = clockOf(world, delivery.to);
    const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&delivery.body);
    const Ownership::HolderResponse answer = grant != nullptr
        ? Ownership::applyGrant(holder, *grant, clock)
        : Ownership::applyFence(holder, std::get<Ownership::FenceRequest>(delivery.body), clock);
    send(world,
        { delivery.to, delivery.from, holder.incarnation, delivery.fromIncarnation, delivery.queryId,
            answer });
}

void deliverToVm(SimulationState& world, const Delivery& delivery)
{
    Ownership::GranterState& granter = world.granters.at(delivery.to);
    if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&delivery.body)) {
        const Agreement::VmStart from { { delivery.from }, delivery.fromIncarnation };
        perform(world, delivery.to, Ownership::onPeerMessage(granter, from, *peer, world.now));
        return;
    }
    if (delivery.toIncarnation != world.processes.at(delivery.to).incarnation)
        return;
    perform(world, delivery.to,
        Ownership::onHolderResponse(granter, { delivery.from }, delivery.queryId,
            std::get<Ownership::HolderResponse>(delivery.body), world.now));
}

void deliverDue(SimulationState& world)
{
    while (!world.messagesInFlight.empty() && world.messagesInFlight.begin()->first <= world.now) {
        const Delivery delivery = world.messagesInFlight.begin()->second;
        world.messagesInFlight.erase(world.messagesInFlight.begin());
        const Process& receiver = world.processes.at(delivery.to);
        if (!reachable(world, delivery.to))
            continue;
        if (!running(world, delivery.to))
            world.messagesInFlight.emplace(receiver.frozenUntil, delivery);
        else if (world.holders.contains(delivery.to))
            deliverToUpstream(world, delivery);
        else
            deliverToVm(world, delivery);
    }
}

void readLog(SimulationState& world, const std::string& vm)
{
    std::size_t& read = world.readRecordCounts[vm];
    while (read < world.log.size() && world.readableAt[read] <= world.now && world.now >= world.logDownUntil
        && reachable(world, vm)) {
        Ownership::GranterOptions options;
        options.leasePolicy = world.settings.lease;
        const Agreement::VmStart self { { vm }, world.processes.at(vm).incarnation };
        perform(world, vm,
            Ownership::installAssignment(world.granters.at(vm), world.log[read], self, options, world.now));
        ++read;
    }
}

void runVms(SimulationState& world)
{
    for (std::pair<const std::string, Ownership::GranterState>& entry : world.granters) {
        if (!running(world, entry.first))
            continue;
        readLog(world, entry.first);
        if (Ownership::isDispatcherSuspected(entry.second, world.now))
            perform(world, entry.first, Ownership::takeOver(entry.second, world.now));
        if (Ownership::nextTick(entry.second) <= world.now)
            perform(world, entry.first, Ownership::tick(entry.second, world.now));
    }
}

void restart(SimulationState& world, const std::string& name)
{
    const Utils::Incarnation incarnation = ++world.processes.at(name).incarnation;
    if (world.holders.contains(name)) {
        world.holders[name] = {};
        world.holders[name].incarnation = incarnation;
        return;
    }
    world.granters[name] = {};
    world.granters[name].self = { { name }, incarnation };
    world.readRecordCounts[name] = 0;
}

void strike(SimulationState& world, const Fault& fault)
{
    if (fault.kind == FaultKind::LogDown) {
        world.logDownUntil = world.now + fault.duration;
        return;
    }
    Process& process = world.processes.at(fault.process);
    if (fault.kind == FaultKind::Terminate)
        process.isTerminated = true;
    if (fault.kind == FaultKind::Freeze)
        process.frozenUntil = world.now + fault.duration;
    if (fault.kind == FaultKind::Isolate)
        process.isolatedUntil = world.now + fault.duration;
    if (fault.kind == FaultKind::Restart)
        restart(world, fault.process);
    if (fault.kind == FaultKind::HandOver)
        perform(world, fault.process, Ownership::stop(world.granters.at(fault.process), world.now));
    process.lastResponsiveAt = world.now;
}

/// The upstream that would run a request now; empty if none would.
std::string servingNow(const SimulationState& world)
{
    for (const std::pair<const std::string, Ownership::GranterState>& entry : world.granters) {
        const std::optional<Ownership::ServingUpstream> serving
            = Ownership::findServingUpstream(entry.second, shard, world.now);
        if (!serving.has_value() || !running(world, entry.first) || !reachable(world, entry.first))
            continue;
        const std::string& upstream = serving->upstream.value;
        const bool runs = running(world, upstream) && reachable(world, upstream)
            && Ownership::checkRequest(
                   world.holders.at(upstream), shard, serving->level, clockOf(world, upstream))
                == Ownership::HolderVerdict::Accepted;
        if (runs)
            return upstream;
    }
    return {};
}

void observe(SimulationState& world)
{
    const std::string serving = servingNow(world);
    if (serving.empty() && world.wasEverServed) {
        ++world.result.orphanedMs;
        ++world.currentOrphanedMs;
        world.result.maxOrphanedMs = std::max(world.result.maxOrphanedMs, world.currentOrphanedMs);
    }
    if (!serving.empty()) {
        if (world.wasEverServed && serving != world.lastServingUpstream)
            ++world.result.moves;
        world.wasEverServed = true;
        world.currentOrphanedMs = 0;
        world.lastServingUpstream = serving;
    }
    world.result.servedBy = serving;
    std::int64_t owners = 0;
    for (const std::pair<const std::string, Ownership::HolderState>& entry : world.holders) {
        if (entry.second.shards.contains(shard) && clockOf(world, entry.first) < entry.second.heldUntil)
            ++owners;
    }
    world.result.doubleOwners += owners > 1 ? 1 : 0;
}

SimulationState firstWorld(const SimulationSettings& settings)
{
    SimulationState world;
    world.settings = settings;
    world.random.seed(settings.seed);
    world.now = start;
    std::uniform_int_distribution<std::int64_t> offset(0, 1'000'000'000);
    for (const std::string name : { "d1", "d2", "d3" }) {
        world.processes[name] = {};
        world.granters[name].self = { { name }, 1 };
    }
    for (const std::string name : { "A", "B", "C" }) {
        world.processes[name] = {};
        world.holders[name].incarnation = 1;
        world.clockOffsets[name] = offset(world.random);
    }
    appendRecord(world);
    world.readableAt.back() = start;
    return world;
}

} // namespace

SimulationResult runSimulation(const SimulationSettings& settings)
{
    SimulationState world = firstWorld(settings);
    const Utils::Instant end = start + settings.duration;
    for (; world.now < end; world.now += step) {
        for (const Fault& fault : settings.faults) {
            if (start + fault.startsAfter <= world.now && world.now < start + fault.startsAfter + step)
                strike(world, fault);
        }
        deliverDue(world);
        runVms(world);
        if (settings.hasLeader)
            runLeader(world);
        observe(world);
    }
    return world.result;
}

} // namespace OwnershipBench
