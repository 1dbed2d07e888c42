#include "steps.h"

#include "modelconstants.h"

#include <ownership/granter.h>
#include <ownership/holder.h>

#include <algorithm>

namespace Explorer {

namespace {

using Actions = std::vector<Ownership::Action>;

Agreement::VmStart startOf(const SystemState& world, std::size_t vm)
{
    return { vmName(vm), world.vms[vm]->incarnation };
}

Ownership::GranterOptions optionsOf(const Instance& instance)
{
    Ownership::GranterOptions options;
    options.leasePolicy.lease = instance.lease * tickLength;
    options.leasePolicy.renewEvery = tickLength;
    options.leasePolicy.proofWindow = instance.proofWindow * tickLength;
    options.leasePolicy.suspectAfter = instance.suspectAfter * tickLength;
    options.leasePolicy.driftPerMille = instance.driftPerMille;
    options.maxTimeInFlight = instance.maxInFlight * tickLength;
    options.waivedGuards = instance.waivedGuards;
    if (!instance.checksGrants)
        options.upstreamsWithoutGrantChecks = { upstreamName(0), upstreamName(1), upstreamName(2) };
    return options;
}

std::optional<Message> messageOf(const SystemState& world, std::size_t vm, const Ownership::Action& action)
{
    const Utils::Incarnation start = world.vms[vm]->incarnation;
    if (const Ownership::SendGrant* grant = std::get_if<Ownership::SendGrant>(&action))
        return Message { vm, start, upstreamIndex(grant->upstream), grant->queryId, grant->request };
    if (const Ownership::SendFence* fence = std::get_if<Ownership::SendFence>(&action))
        return Message { vm, start, upstreamIndex(fence->upstream), fence->queryId, fence->request };
    if (const Ownership::SendPeerMessage* peer = std::get_if<Ownership::SendPeerMessage>(&action))
        return Message { vm, start, vmIndex(peer->to.vm), 0, peer->message };
    return std::nullopt;
}

/// Puts what \a actions send into the outbox, ahead of the rest if they answer something.
void post(SystemState& world, std::size_t vm, const Actions& actions, bool ahead)
{
    std::vector<Message> messages;
    for (const Ownership::Action& action : actions) {
        const std::optional<Message> message = messageOf(world, vm, action);
        if (message.has_value())
            messages.push_back(*message);
    }
    world.sendQueue.insert(
        ahead ? world.sendQueue.begin() : world.sendQueue.end(), messages.begin(), messages.end());
}

template <typename Decision>
void decide(SystemState& world, std::size_t vm, Decision decision, bool ahead = false)
{
    if (world.vms[vm]->digest != Digest() || world.vms[vm].use_count() != 1) {
        const std::shared_ptr<Vm> copy = std::make_shared<Vm>(*world.vms[vm]);
        copy->digest = {};
        world.vms[vm] = copy;
    }
    const Actions actions = decision(const_cast<Vm&>(*world.vms[vm]));
    post(world, vm, actions, ahead);
}

Ownership::HolderResponse applyAtHolder(
    const Instance& instance, Ownership::HolderState& holder, Ownership::GrantRequest request)
{
    if (instance.holderFault == HolderFault::IgnoresSequence)
        holder.sequence = 0;
    if (instance.holderFault == HolderFault::IgnoresIncarnation)
        request.incarnation = holder.incarnation;
    if (instance.holderFault == HolderFault::IgnoresLevel)
        holder.fenceLevel = {};
    if (instance.holderFault == HolderFault::CountsFromReceipt)
        request.expiresAt = holderNow + (instance.lease * tickLength).count();
    return Ownership::applyGrant(holder, request, holderNow);
}

Ownership::HolderResponse stateWithoutChecks(const Ownership::HolderState& holder)
{
    Ownership::HolderResponse answer;
    answer.incarnation = holder.incarnation;
    answer.clock = holderNow;
    return answer;
}

Ownership::HolderResponse answerAtHolder(const Instance& instance, SystemState& world, const Message& message)
{
    Ownership::HolderState& holder = world.holders[message.counterpart];
    if (!instance.checksGrants)
        return stateWithoutChecks(holder);
    if (const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&message.body))
        return applyAtHolder(instance, holder, *grant);
    if (instance.holderFault == HolderFault::IgnoresLevel)
        holder.fenceLevel = {};
    return Ownership::applyFence(holder, std::get<Ownership::FenceRequest>(message.body), holderNow);
}

void deliver(const Instance& instance, SystemState& world, const Message& message)
{
    if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body)) {
        const Agreement::VmStart from { vmName(message.vm), message.vmIncarnation };
        decide(
            world, message.counterpart,
            [&](Vm& vm) { return Ownership::onPeerMessage(vm.state, from, *peer, vmNow); }, true);
        return;
    }
    if (const Ownership::HolderResponse* answer = std::get_if<Ownership::HolderResponse>(&message.body)) {
        if (world.vms[message.vm]->incarnation != message.vmIncarnation)
            return;
        decide(world, message.vm, [&](Vm& vm) {
            return Ownership::onHolderResponse(
                vm.state, upstreamName(message.counterpart), message.queryId, *answer, vmNow);
        });
        return;
    }
    Message reply = message;
    reply.body = answerAtHolder(instance, world, message);
    world.sendQueue.insert(world.sendQueue.begin(), reply);
}

void restartVm(SystemState& world, std::size_t index)
{
    Vm fresh;
    fresh.incarnation = world.vms[index]->incarnation + 1;
    fresh.inFlightTicks = world.vms[index]->inFlightTicks;
    fresh.state.self = { vmName(index), fresh.incarnation };
    world.vms[index] = std::make_shared<const Vm>(fresh);
    --world.remainingRestarts;
}

void restartUpstream(SystemState& world, std::size_t index)
{
    Ownership::HolderState fresh;
    fresh.incarnation = world.holders[index].incarnation + 1;
    world.holders[index] = fresh;
    --world.remainingRestarts;
}

Agreement::PoolAssignment recordOf(const SystemState& world, const RecordPlan& plan, Utils::Offset token)
{
    Agreement::PoolAssignment record;
    record.pool = { "p" };
    record.token = token;
    record.dispatcher = startOf(world, plan.dispatcher);
    record.successor = startOf(world, plan.successor);
    for (const std::size_t upstream : { plan.owner, plan.standby })
        record.upstreams[upstreamName(upstream)] = world.holders[upstream].incarnation;
    record.shards[onlyShard()] = { upstreamName(plan.owner), upstreamName(plan.standby) };
    return record;
}

void append(const Instance& instance, SystemState& world)
{
    const Agreement::PoolAssignment& last = *world.log.back();
    Agreement::PoolAssignment record
        = recordOf(world, instance.records[world.appendedRecordCount], world.log.size() + 1);
    record.formers = last.formers;
    record.formers.push_back({ last.token, last.dispatcher, last.successor, last.upstreams, last.shards });
    world.log.push_back(std::make_shared<const Agreement::PoolAssignment>(record));
    ++world.appendedRecordCount;
}

void settle(SystemState& world, std::size_t vm)
{
    const Utils::Offset token = world.vms[vm]->state.level.token;
    Agreement::PoolAssignment record = *world.log.back();
    std::erase_if(
        record.formers, [token](const Agreement::FormerAssignment& former) { return former.token < token; });
    world.log.push_back(std::make_shared<const Agreement::PoolAssignment>(record));
}

bool canSettle(const SystemState& world, std::size_t vm)
{
    const Vm& granter = *world.vms[vm];
    const std::vector<Agreement::FormerAssignment>& formers = world.log.back()->formers;
    const bool listed
        = std::any_of(formers.begin(), formers.end(), [&granter](const Agreement::FormerAssignment& former) {
              return former.token < granter.state.level.token;
          });
    return listed && Ownership::arePreviousAssignmentsRetired(granter.state, vmNow);
}

void readLog(const Instance& instance, SystemState& world, std::size_t vm)
{
    const Agreement::PoolAssignment& record = *world.log[world.vms[vm]->readRecordCount];
    const Agreement::VmStart self = startOf(world, vm);
    decide(world, vm, [&](Vm& changed) {
        ++changed.readRecordCount;
        return Ownership::installAssignment(changed.state, record, self, optionsOf(instance), vmNow);
    });
}

bool named(const Instance& instance, std::size_t vm)
{
    return std::any_of(instance.records.begin(), instance.records.end(),
        [vm](const RecordPlan& plan) { return plan.dispatcher == vm || plan.successor == vm; });
}

bool namesUpstream(const Instance& instance, std::size_t upstream)
{
    return std::any_of(instance.records.begin(), instance.records.end(),
        [upstream](const RecordPlan& plan) { return plan.owner == upstream || plan.standby == upstream; });
}

bool mayRead(const Instance& instance, const SystemState& world, std::size_t vm)
{
    if (!named(instance, vm))
        return false;
    const Agreement::PoolAssignment& next = *world.log[world.vms[vm]->readRecordCount];
    const bool nextNames = next.dispatcher.vm == vmName(vm) || next.successor.vm == vmName(vm);
    return !instance.onlyNamedVmsRead || next.token == 1 || nextNames;
}

/// Requests other than grants do nothing late that their answers would not.
bool mayBeLate(const Instance& instance, const Message& message)
{
    if (std::holds_alternative<Ownership::FenceRequest>(message.body))
        return instance.allowLateRequests;
    if (std::holds_alternative<Ownership::GrantRequest>(message.body))
        return instance.allowLateGrants;
    const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body);
    const bool request = peer != nullptr
        && (std::holds_alternative<Ownership::AttestRequest>(*peer)
            || std::holds_alternative<Ownership::StopRequest>(*peer));
    return request ? instance.allowLateRequests : instance.allowLateResponses;
}

void addVmEvents(
    const Instance& instance, const SystemState& world, std::size_t index, std::vector<Event>& events)
{
    const Vm& vm = *world.vms[index];
    const bool granting = vm.state.role == Ownership::GranterRole::Granting;
    if (!vm.hasTicked && granting)
        events.push_back({ EventKind::RunTimer, index });
    if (vm.readRecordCount < world.log.size() && mayRead(instance, world, index))
        events.push_back({ EventKind::ReadLog, index });
    if (instance.allowTakeover && vm.state.role == Ownership::GranterRole::Standby)
        events.push_back({ EventKind::TakeOver, index });
    if (instance.allowHandover && granting && vm.state.level.epoch == 1)
        events.push_back({ EventKind::HandOver, index });
    if (instance.allowRetirement && granting && canSettle(world, index))
        events.push_back({ EventKind::RetirePreviousAssignments, index });
    const bool used = vm.state.assignment.token != 0;
    if (instance.allowVmRestarts && world.remainingRestarts > 0 && used)
        events.push_back({ EventKind::RestartVm, index });
}

bool holds(const Ownership::HolderState& holder)
{
    return holder.heldUntil > holderNow && holder.shards.contains(onlyShard());
}

/// Whether requests of another VM or to another upstream can be in flight while \a vm serves \a upstream.
bool anotherInFlight(const SystemState& world, std::size_t vm, std::size_t upstream)
{
    for (std::size_t other = 0; other < vmCount; ++other) {
        for (std::size_t target = 0; target < upstreamCount; ++target) {
            if ((other != vm || target != upstream) && world.vms[other]->inFlightTicks[target] > 0)
                return true;
        }
    }
    return false;
}

std::string describeMessage(const Message& message)
{
    const std::string vm = "vm" + std::to_string(message.vm) + "#" + std::to_string(message.vmIncarnation);
    const std::string upstream = upstreamName(message.counterpart).value;
    if (const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&message.body)) {
        const std::int64_t left = (grant->expiresAt - holderNow) / tickLength.count();
        return "grant " + vm + " -> " + upstream + "#" + std::to_string(grant->incarnation) + " level "
            + std::to_string(grant->level.token) + "." + std::to_string(grant->level.epoch) + " seq "
            + std::to_string(grant->sequence) + " ends in " + std::to_string(left)
            + (grant->shards.empty() ? " empty" : "");
    }
    if (const Ownership::FenceRequest* fence = std::get_if<Ownership::FenceRequest>(&message.body))
        return "fence " + vm + " -> " + upstream + " level " + std::to_string(fence->level.token) + "."
            + std::to_string(fence->level.epoch);
    if (const Ownership::HolderResponse* answer = std::get_if<Ownership::HolderResponse>(&message.body))
        return "answer " + upstream + "#" + std::to_string(answer->incarnation) + " -> " + vm + " "
            + std::string(Utils::enumName(Ownership::holderVerdictNames, answer->verdict));
    static const std::array<std::string, 4> names { "attest request", "attest answer", "stop request",
        "stop answer" };
    const Ownership::PeerMessage& peer = std::get<Ownership::PeerMessage>(message.body);
    return names[peer.index()] + " " + vm + " -> vm" + std::to_string(message.counterpart);
}

/// What becomes of a message.
enum class Fate { Arrives, Lost, Late };

constexpr std::array<const char*, 3> fateNames { "arrives: ", "is lost: ", "is late: " };

/// What becomes of the exchanges between a sender and a receiver within a step.
enum class Link : unsigned { Works, Lost, AnswersLost };

bool isRequest(const Message& message)
{
    if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body))
        return std::holds_alternative<Ownership::AttestRequest>(*peer)
            || std::holds_alternative<Ownership::StopRequest>(*peer);
    return !std::holds_alternative<Ownership::HolderResponse>(message.body);
}

/// Sender and receiver of the request that \a message is or answers.
std::array<std::size_t, 3> linkOf(const Message& message)
{
    const bool betweenVms = std::holds_alternative<Ownership::PeerMessage>(message.body);
    if (betweenVms && !isRequest(message))
        return { 1, message.counterpart, message.vm };
    return { betweenVms ? 1U : 0U, message.vm, message.counterpart };
}

/// Whether a lost answer differs from a lost request: the receiver would remember the request.
bool leavesMark(const SystemState& world, const Message& message)
{
    if (const Ownership::FenceRequest* fence = std::get_if<Ownership::FenceRequest>(&message.body))
        return fence->level > world.holders[message.counterpart].fenceLevel;
    const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body);
    if (peer == nullptr)
        return true;
    const Ownership::GrantLevel& highest = world.vms[message.counterpart]->state.highestKnownLevel;
    if (const Ownership::AttestRequest* request = std::get_if<Ownership::AttestRequest>(peer))
        return request->level > highest;
    if (const Ownership::StopRequest* request = std::get_if<Ownership::StopRequest>(peer))
        return request->level > highest;
    return true;
}

Link linkState(const Instance& instance, const SystemState& world, const Message& message, StepChoices& fates)
{
    const std::array<std::size_t, 3> link = linkOf(message);
    const std::map<std::array<std::size_t, 3>, unsigned>::const_iterator known = fates.linkStates.find(link);
    if (known != fates.linkStates.end())
        return static_cast<Link>(known->second);
    const bool answerMayBeLate
        = instance.allowLateResponses && world.lateMessages.size() < instance.maxLateMessages;
    const unsigned possibilities = answerMayBeLate || leavesMark(world, message) ? 3 : 2;
    return static_cast<Link>(fates.linkStates.emplace(link, choose(fates, possibilities)).first->second);
}

Fate fateOf(const Instance& instance, const SystemState& world, const Message& message, StepChoices& fates)
{
    const Link link = linkState(instance, world, message, fates);
    const bool request = isRequest(message);
    const bool arrives = link == Link::Works || (link == Link::AnswersLost && request);
    const bool grant = std::holds_alternative<Ownership::GrantRequest>(message.body);
    const bool room = world.lateMessages.size() < instance.maxLateMessages && mayBeLate(instance, message);
    if (room && (grant || !arrives) && choose(fates, 2) == 1)
        return Fate::Late;
    return arrives ? Fate::Arrives : Fate::Lost;
}

void note(std::vector<std::string>* trace, const std::string& line)
{
    if (trace != nullptr)
        trace->push_back(line);
}

void begin(const Instance& instance, SystemState& world, const Event& event)
{
    switch (event.kind) {
    case EventKind::DeliverLate:
    case EventKind::DuplicateLate: {
        const Message message = world.lateMessages[event.index];
        if (event.kind == EventKind::DeliverLate)
            world.lateMessages.erase(world.lateMessages.begin() + static_cast<std::ptrdiff_t>(event.index));
        else
            --world.remainingDuplicates;
        deliver(instance, world, message);
        break;
    }
    case EventKind::RunTimer:
        decide(world, event.index, [](Vm& vm) {
            vm.hasTicked = true;
            return Ownership::tick(vm.state, vmNow);
        });
        break;
    case EventKind::ReadLog:
        readLog(instance, world, event.index);
        break;
    case EventKind::TakeOver:
        decide(world, event.index, [](Vm& vm) { return Ownership::takeOver(vm.state, vmNow); });
        break;
    case EventKind::HandOver:
        decide(world, event.index, [](Vm& vm) { return Ownership::stop(vm.state, vmNow); });
        break;
    case EventKind::RestartVm:
        restartVm(world, event.index);
        break;
    case EventKind::RestartUpstream:
        restartUpstream(world, event.index);
        break;
    case EventKind::Append:
        append(instance, world);
        break;
    case EventKind::RetirePreviousAssignments:
        settle(world, event.index);
        break;
    default:
        if (event.index != noStalledProcess)
            --world.remainingStalls;
        break;
    }
}

std::string describe(const SystemState& world, const Event& event)
{
    const std::string vm = "vm" + std::to_string(event.index);
    switch (event.kind) {
    case EventKind::DeliverLate:
        return "arrives late: " + describeMessage(world.lateMessages[event.index]);
    case EventKind::DuplicateLate:
        return "arrives late, will repeat: " + describeMessage(world.lateMessages[event.index]);
    case EventKind::RunTimer:
        return vm + " runs its timer";
    case EventKind::ReadLog:
        return vm + " reads record " + std::to_string(world.vms[event.index]->readRecordCount + 1);
    case EventKind::TakeOver:
        return vm + " takes over";
    case EventKind::HandOver:
        return vm + " hands over";
    case EventKind::RestartVm:
        return vm + " restarts";
    case EventKind::RestartUpstream:
        return upstreamName(event.index).value + " restarts";
    case EventKind::Append:
        return "a record is appended";
    case EventKind::RetirePreviousAssignments:
        return vm + " has the formers dropped from the log";
    default:
        return event.index == noStalledProcess
            ? "a tick passes"
            : "a tick passes that process " + std::to_string(event.index) + " misses";
    }
}

} // namespace

SystemState makeInitialState(const Instance& instance)
{
    SystemState world;
    for (std::size_t index = 0; index < vmCount; ++index) {
        Vm vm;
        vm.state.self = { vmName(index), vm.incarnation };
        world.vms[index] = std::make_shared<const Vm>(vm);
    }
    for (Ownership::HolderState& holder : world.holders) {
        holder.incarnation = 1;
        holder.heldUntil = holderNow;
    }
    world.log.push_back(
        std::make_shared<const Agreement::PoolAssignment>(recordOf(world, instance.records.front(), 1)));
    while (instance.areRecordsAppendedAtStart && world.appendedRecordCount < instance.records.size())
        append(instance, world);
    world.remainingRestarts = static_cast<std::uint8_t>(instance.maxRestarts);
    world.remainingDuplicates = static_cast<std::uint8_t>(instance.maxDuplicates);
    world.remainingStalls = static_cast<std::uint8_t>(instance.maxStalls);
    return world;
}

std::vector<Event> possibleEvents(const Instance& instance, const SystemState& world)
{
    std::vector<Event> events;
    for (std::size_t index = 0; index < vmCount; ++index)
        addVmEvents(instance, world, index, events);
    for (std::size_t index = 0; index < upstreamCount && world.remainingRestarts > 0; ++index) {
        if (instance.allowUpstreamRestarts && namesUpstream(instance, index))
            events.push_back({ EventKind::RestartUpstream, index });
    }
    for (std::size_t index = 0; index < world.lateMessages.size(); ++index) {
        events.push_back({ EventKind::DeliverLate, index });
        if (world.remainingDuplicates > 0)
            events.push_back({ EventKind::DuplicateLate, index });
    }
    if (world.appendedRecordCount < instance.records.size())
        events.push_back({ EventKind::Append, 0 });
    events.push_back({ EventKind::AdvanceClock, noStalledProcess });
    for (std::size_t index = 0; index < vmCount + upstreamCount && world.remainingStalls > 0; ++index)
        events.push_back({ EventKind::AdvanceClock, index });
    return events;
}

void applyEvent(const Instance& instance, SystemState& world, const Event& event, StepChoices& fates,
    std::vector<std::string>* trace)
{
    note(trace, describe(world, event));
    begin(instance, world, event);
    while (!world.sendQueue.empty()) {
        const Message message = world.sendQueue.front();
        world.sendQueue.erase(world.sendQueue.begin());
        const Fate fate = fateOf(instance, world, message, fates);
        note(trace, std::string("  ") + fateNames[static_cast<std::size_t>(fate)] + describeMessage(message));
        if (fate == Fate::Arrives)
            deliver(instance, world, message);
        else if (fate == Fate::Late)
            world.lateMessages.push_back(message);
    }
}

void recordRequestsInFlight(const Instance& instance, SystemState& world)
{
    if (instance.checksGrants)
        return;
    for (std::size_t index = 0; index < vmCount; ++index) {
        const std::optional<Ownership::ServingUpstream> serving
            = Ownership::findServingUpstream(world.vms[index]->state, onlyShard(), vmNow);
        if (!serving.has_value())
            continue;
        Vm vm = *world.vms[index];
        vm.inFlightTicks[upstreamIndex(serving->upstream)] = static_cast<std::uint8_t>(instance.maxInFlight);
        world.vms[index] = std::make_shared<const Vm>(vm);
    }
}

std::optional<std::string> findViolation(const Instance& instance, const SystemState& world)
{
    if (std::count_if(world.holders.begin(), world.holders.end(), holds) > 1)
        return "two upstreams hold the shard";
    for (std::size_t index = 0; index < vmCount; ++index) {
        const std::optional<Ownership::ServingUpstream> serving
            = Ownership::findServingUpstream(world.vms[index]->state, onlyShard(), vmNow);
        if (!serving.has_value())
            continue;
        const std::size_t upstream = upstreamIndex(serving->upstream);
        if (!instance.checksGrants && anotherInFlight(world, index, upstream))
            return "vm" + std::to_string(index) + " sends to " + serving->upstream.value
                + " while a request of another sender may be in flight";
        const Ownership::HolderState& holder = world.holders[upstream];
        const bool sameStart
            = holder.incarnation == world.vms[index]->state.assignment.upstreams.at(serving->upstream);
        if (instance.checksGrants && instance.maxStalls == 0 && instance.holderFault == HolderFault::None
            && sameStart && holder.fenceLevel <= serving->level && !holds(holder))
            return "vm" + std::to_string(index) + " sends to " + serving->upstream.value
                + ", which holds nothing";
    }
    return std::nullopt;
}

} // namespace Explorer
