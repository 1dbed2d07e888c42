#include "steps.h"

#include "modelconstants.h"

#include <ownership/granter.h>
#include <ownership/holder.h>

#include <algorithm>

namespace Explorer {

namespace {

using Actions = std::vector<Ownership::Action>;

Agreement::VmStart makeVmStart(const SystemState& system, std::size_t vm)
{
    return { vmName(vm), system.vms[vm]->incarnation };
}

Ownership::GranterOptions makeOptions(const Instance& instance)
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

std::optional<Message> makeMessage(const SystemState& system, std::size_t vm, const Ownership::Action& action)
{
    const Utils::Incarnation start = system.vms[vm]->incarnation;
    if (const Ownership::SendGrant* grant = std::get_if<Ownership::SendGrant>(&action))
        return Message { vm, start, upstreamIndex(grant->upstream), grant->queryId, grant->request };
    if (const Ownership::SendFence* fence = std::get_if<Ownership::SendFence>(&action))
        return Message { vm, start, upstreamIndex(fence->upstream), fence->queryId, fence->request };
    if (const Ownership::SendPeerMessage* peer = std::get_if<Ownership::SendPeerMessage>(&action))
        return Message { vm, start, vmIndex(peer->to.vm), 0, peer->message };
    return std::nullopt;
}

/// Adds the messages of \a actions to the send queue, in front of the others if they are responses.
void enqueueMessages(SystemState& system, std::size_t vm, const Actions& actions, bool ahead)
{
    std::vector<Message> messages;
    for (const Ownership::Action& action : actions) {
        const std::optional<Message> message = makeMessage(system, vm, action);
        if (message.has_value())
            messages.push_back(*message);
    }
    system.sendQueue.insert(
        ahead ? system.sendQueue.begin() : system.sendQueue.end(), messages.begin(), messages.end());
}

template <typename Decision>
void runDecision(SystemState& system, std::size_t vm, Decision decision, bool ahead = false)
{
    if (system.vms[vm]->digest != Digest() || system.vms[vm].use_count() != 1) {
        const std::shared_ptr<Vm> copy = std::make_shared<Vm>(*system.vms[vm]);
        copy->digest = {};
        system.vms[vm] = copy;
    }
    const Actions actions = decision(const_cast<Vm&>(*system.vms[vm]));
    enqueueMessages(system, vm, actions, ahead);
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

Ownership::HolderResponse makeUncheckedResponse(const Ownership::HolderState& holder)
{
    Ownership::HolderResponse response;
    response.incarnation = holder.incarnation;
    response.clock = holderNow;
    return response;
}

Ownership::HolderResponse respondAtHolder(
    const Instance& instance, SystemState& system, const Message& message)
{
    Ownership::HolderState& holder = system.holders[message.counterpart];
    if (!instance.checksGrants)
        return makeUncheckedResponse(holder);
    if (const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&message.body))
        return applyAtHolder(instance, holder, *grant);
    if (instance.holderFault == HolderFault::IgnoresLevel)
        holder.fenceLevel = {};
    return Ownership::applyFence(holder, std::get<Ownership::FenceRequest>(message.body), holderNow);
}

void deliver(const Instance& instance, SystemState& system, const Message& message)
{
    if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body)) {
        const Agreement::VmStart from { vmName(message.vm), message.vmIncarnation };
        runDecision(
            system, message.counterpart,
            [&](Vm& vm) { return Ownership::onPeerMessage(vm.state, from, *peer, vmNow); }, true);
        return;
    }
    if (const Ownership::HolderResponse* response = std::get_if<Ownership::HolderResponse>(&message.body)) {
        if (system.vms[message.vm]->incarnation != message.vmIncarnation)
            return;
        runDecision(system, message.vm, [&](Vm& vm) {
            return Ownership::onHolderResponse(
                vm.state, upstreamName(message.counterpart), message.queryId, *response, vmNow);
        });
        return;
    }
    Message response = message;
    response.body = respondAtHolder(instance, system, message);
    system.sendQueue.insert(system.sendQueue.begin(), response);
}

void restartVm(SystemState& system, std::size_t index)
{
    Vm restarted;
    restarted.incarnation = system.vms[index]->incarnation + 1;
    restarted.inFlightTicks = system.vms[index]->inFlightTicks;
    restarted.state.self = { vmName(index), restarted.incarnation };
    system.vms[index] = std::make_shared<const Vm>(restarted);
    --system.remainingRestarts;
}

void restartUpstream(SystemState& system, std::size_t index)
{
    Ownership::HolderState restarted;
    restarted.incarnation = system.holders[index].incarnation + 1;
    system.holders[index] = restarted;
    --system.remainingRestarts;
}

Agreement::PoolAssignment makeRecord(const SystemState& system, const RecordPlan& plan, Utils::Offset token)
{
    Agreement::PoolAssignment record;
    record.pool = { "p" };
    record.token = token;
    record.dispatcher = makeVmStart(system, plan.dispatcher);
    record.successor = makeVmStart(system, plan.successor);
    for (const std::size_t upstream : { plan.owner, plan.standby })
        record.upstreams[upstreamName(upstream)] = system.holders[upstream].incarnation;
    record.shards[onlyShard()] = { upstreamName(plan.owner), upstreamName(plan.standby) };
    return record;
}

void appendRecord(const Instance& instance, SystemState& system)
{
    const Agreement::PoolAssignment& last = *system.log.back();
    Agreement::PoolAssignment record
        = makeRecord(system, instance.records[system.appendedRecordCount], system.log.size() + 1);
    record.formers = last.formers;
    record.formers.push_back({ last.token, last.dispatcher, last.successor, last.upstreams, last.shards });
    system.log.push_back(std::make_shared<const Agreement::PoolAssignment>(record));
    ++system.appendedRecordCount;
}

void retirePreviousAssignments(SystemState& system, std::size_t vm)
{
    const Utils::Offset token = system.vms[vm]->state.level.token;
    Agreement::PoolAssignment record = *system.log.back();
    std::erase_if(
        record.formers, [token](const Agreement::FormerAssignment& former) { return former.token < token; });
    system.log.push_back(std::make_shared<const Agreement::PoolAssignment>(record));
}

bool canRetire(const SystemState& system, std::size_t vm)
{
    const Vm& granter = *system.vms[vm];
    const std::vector<Agreement::FormerAssignment>& formers = system.log.back()->formers;
    const bool listed
        = std::any_of(formers.begin(), formers.end(), [&granter](const Agreement::FormerAssignment& former) {
              return former.token < granter.state.level.token;
          });
    return listed && Ownership::arePreviousAssignmentsRetired(granter.state, vmNow);
}

void readLog(const Instance& instance, SystemState& system, std::size_t vm)
{
    const Agreement::PoolAssignment& record = *system.log[system.vms[vm]->readRecordCount];
    const Agreement::VmStart self = makeVmStart(system, vm);
    runDecision(system, vm, [&](Vm& changed) {
        ++changed.readRecordCount;
        return Ownership::installAssignment(changed.state, record, self, makeOptions(instance), vmNow);
    });
}

bool isVmNamed(const Instance& instance, std::size_t vm)
{
    return std::any_of(instance.records.begin(), instance.records.end(),
        [vm](const RecordPlan& plan) { return plan.dispatcher == vm || plan.successor == vm; });
}

bool isUpstreamNamed(const Instance& instance, std::size_t upstream)
{
    return std::any_of(instance.records.begin(), instance.records.end(),
        [upstream](const RecordPlan& plan) { return plan.owner == upstream || plan.standby == upstream; });
}

bool canReadNext(const Instance& instance, const SystemState& system, std::size_t vm)
{
    if (!isVmNamed(instance, vm))
        return false;
    const Agreement::PoolAssignment& next = *system.log[system.vms[vm]->readRecordCount];
    const bool nextNames = next.dispatcher.vm == vmName(vm) || next.successor.vm == vmName(vm);
    return !instance.onlyNamedVmsRead || next.token == 1 || nextNames;
}

/// Late requests other than grants have no effect beyond that of late responses to them.
bool canBeLate(const Instance& instance, const Message& message)
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
    const Instance& instance, const SystemState& system, std::size_t index, std::vector<Event>& events)
{
    const Vm& vm = *system.vms[index];
    const bool granting = vm.state.role == Ownership::GranterRole::Granting;
    if (!vm.hasTicked && granting)
        events.push_back({ EventKind::RunTimer, index });
    if (vm.readRecordCount < system.log.size() && canReadNext(instance, system, index))
        events.push_back({ EventKind::ReadLog, index });
    if (instance.allowTakeover && vm.state.role == Ownership::GranterRole::Standby)
        events.push_back({ EventKind::TakeOver, index });
    if (instance.allowHandover && granting && vm.state.level.epoch == 1)
        events.push_back({ EventKind::HandOver, index });
    if (instance.allowRetirement && granting && canRetire(system, index))
        events.push_back({ EventKind::RetirePreviousAssignments, index });
    const bool used = vm.state.assignment.token != 0;
    if (instance.allowVmRestarts && system.remainingRestarts > 0 && used)
        events.push_back({ EventKind::RestartVm, index });
}

bool holds(const Ownership::HolderState& holder)
{
    return holder.heldUntil > holderNow && holder.shards.contains(onlyShard());
}

/// Whether requests of another VM or to another upstream can be in flight while \a vm serves \a upstream.
bool isOtherRequestInFlight(const SystemState& system, std::size_t vm, std::size_t upstream)
{
    for (std::size_t other = 0; other < vmCount; ++other) {
        for (std::size_t target = 0; target < upstreamCount; ++target) {
            if ((other != vm || target != upstream) && system.vms[other]->inFlightTicks[target] > 0)
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
    if (const Ownership::HolderResponse* response = std::get_if<Ownership::HolderResponse>(&message.body))
        return "response " + upstream + "#" + std::to_string(response->incarnation) + " -> " + vm + " "
            + std::string(Utils::enumName(Ownership::holderVerdictNames, response->verdict));
    static const std::array<std::string, 4> names { "attest request", "attest response", "stop request",
        "stop response" };
    const Ownership::PeerMessage& peer = std::get<Ownership::PeerMessage>(message.body);
    return names[peer.index()] + " " + vm + " -> vm" + std::to_string(message.counterpart);
}

/// Outcome of sending a message.
enum class Outcome { Arrives, Lost, Late };

constexpr std::array<const char*, 3> outcomeNames { "arrives: ", "is lost: ", "is late: " };

/// Outcome of the exchanges between a sender and a receiver within a step.
enum class Link : unsigned { Works, Lost, ResponsesLost };

bool isRequest(const Message& message)
{
    if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body))
        return std::holds_alternative<Ownership::AttestRequest>(*peer)
            || std::holds_alternative<Ownership::StopRequest>(*peer);
    return !std::holds_alternative<Ownership::HolderResponse>(message.body);
}

/// Sender and receiver of the request that \a message is or responds to.
std::array<std::size_t, 3> findLink(const Message& message)
{
    const bool betweenVms = std::holds_alternative<Ownership::PeerMessage>(message.body);
    if (betweenVms && !isRequest(message))
        return { 1, message.counterpart, message.vm };
    return { betweenVms ? 1U : 0U, message.vm, message.counterpart };
}

/// Whether a lost response differs from a lost request, because the receiver's state changes on the request.
bool changesReceiver(const SystemState& system, const Message& message)
{
    if (const Ownership::FenceRequest* fence = std::get_if<Ownership::FenceRequest>(&message.body))
        return fence->level > system.holders[message.counterpart].fenceLevel;
    const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body);
    if (peer == nullptr)
        return true;
    const Ownership::GrantLevel& highest = system.vms[message.counterpart]->state.highestKnownLevel;
    if (const Ownership::AttestRequest* request = std::get_if<Ownership::AttestRequest>(peer))
        return request->level > highest;
    if (const Ownership::StopRequest* request = std::get_if<Ownership::StopRequest>(peer))
        return request->level > highest;
    return true;
}

Link chooseLinkState(
    const Instance& instance, const SystemState& system, const Message& message, StepChoices& choices)
{
    const std::array<std::size_t, 3> link = findLink(message);
    const std::map<std::array<std::size_t, 3>, unsigned>::const_iterator known
        = choices.linkStates.find(link);
    if (known != choices.linkStates.end())
        return static_cast<Link>(known->second);
    const bool responseMayBeLate
        = instance.allowLateResponses && system.lateMessages.size() < instance.maxLateMessages;
    const unsigned possibilities = responseMayBeLate || changesReceiver(system, message) ? 3 : 2;
    return static_cast<Link>(choices.linkStates.emplace(link, choose(choices, possibilities)).first->second);
}

Outcome chooseOutcome(
    const Instance& instance, const SystemState& system, const Message& message, StepChoices& choices)
{
    const Link link = chooseLinkState(instance, system, message, choices);
    const bool request = isRequest(message);
    const bool arrives = link == Link::Works || (link == Link::ResponsesLost && request);
    const bool grant = std::holds_alternative<Ownership::GrantRequest>(message.body);
    const bool room = system.lateMessages.size() < instance.maxLateMessages && canBeLate(instance, message);
    if (room && (grant || !arrives) && choose(choices, 2) == 1)
        return Outcome::Late;
    return arrives ? Outcome::Arrives : Outcome::Lost;
}

void addTraceLine(std::vector<std::string>* trace, const std::string& line)
{
    if (trace != nullptr)
        trace->push_back(line);
}

void startEvent(const Instance& instance, SystemState& system, const Event& event)
{
    switch (event.kind) {
    case EventKind::DeliverLate:
    case EventKind::DuplicateLate: {
        const Message message = system.lateMessages[event.index];
        if (event.kind == EventKind::DeliverLate)
            system.lateMessages.erase(system.lateMessages.begin() + static_cast<std::ptrdiff_t>(event.index));
        else
            --system.remainingDuplicates;
        deliver(instance, system, message);
        break;
    }
    case EventKind::RunTimer:
        runDecision(system, event.index, [](Vm& vm) {
            vm.hasTicked = true;
            return Ownership::tick(vm.state, vmNow);
        });
        break;
    case EventKind::ReadLog:
        readLog(instance, system, event.index);
        break;
    case EventKind::TakeOver:
        runDecision(system, event.index, [](Vm& vm) { return Ownership::takeOver(vm.state, vmNow); });
        break;
    case EventKind::HandOver:
        runDecision(system, event.index, [](Vm& vm) { return Ownership::stop(vm.state, vmNow); });
        break;
    case EventKind::RestartVm:
        restartVm(system, event.index);
        break;
    case EventKind::RestartUpstream:
        restartUpstream(system, event.index);
        break;
    case EventKind::Append:
        appendRecord(instance, system);
        break;
    case EventKind::RetirePreviousAssignments:
        retirePreviousAssignments(system, event.index);
        break;
    default:
        if (event.index != noStalledProcess)
            --system.remainingStalls;
        break;
    }
}

std::string describe(const SystemState& system, const Event& event)
{
    const std::string vm = "vm" + std::to_string(event.index);
    switch (event.kind) {
    case EventKind::DeliverLate:
        return "arrives late: " + describeMessage(system.lateMessages[event.index]);
    case EventKind::DuplicateLate:
        return "arrives late and will be duplicated: " + describeMessage(system.lateMessages[event.index]);
    case EventKind::RunTimer:
        return vm + " runs its timer";
    case EventKind::ReadLog:
        return vm + " reads record " + std::to_string(system.vms[event.index]->readRecordCount + 1);
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
        return vm + " has the previous assignments dropped from the log";
    default:
        return event.index == noStalledProcess
            ? "a tick passes"
            : "a tick passes that process " + std::to_string(event.index) + " misses";
    }
}

} // namespace

SystemState makeInitialState(const Instance& instance)
{
    SystemState system;
    for (std::size_t index = 0; index < vmCount; ++index) {
        Vm vm;
        vm.state.self = { vmName(index), vm.incarnation };
        system.vms[index] = std::make_shared<const Vm>(vm);
    }
    for (Ownership::HolderState& holder : system.holders) {
        holder.incarnation = 1;
        holder.heldUntil = holderNow;
    }
    system.log.push_back(
        std::make_shared<const Agreement::PoolAssignment>(makeRecord(system, instance.records.front(), 1)));
    while (instance.areRecordsAppendedAtStart && system.appendedRecordCount < instance.records.size())
        appendRecord(instance, system);
    system.remainingRestarts = static_cast<std::uint8_t>(instance.maxRestarts);
    system.remainingDuplicates = static_cast<std::uint8_t>(instance.maxDuplicates);
    system.remainingStalls = static_cast<std::uint8_t>(instance.maxStalls);
    return system;
}

std::vector<Event> possibleEvents(const Instance& instance, const SystemState& system)
{
    std::vector<Event> events;
    for (std::size_t index = 0; index < vmCount; ++index)
        addVmEvents(instance, system, index, events);
    for (std::size_t index = 0; index < upstreamCount && system.remainingRestarts > 0; ++index) {
        if (instance.allowUpstreamRestarts && isUpstreamNamed(instance, index))
            events.push_back({ EventKind::RestartUpstream, index });
    }
    for (std::size_t index = 0; index < system.lateMessages.size(); ++index) {
        events.push_back({ EventKind::DeliverLate, index });
        if (system.remainingDuplicates > 0)
            events.push_back({ EventKind::DuplicateLate, index });
    }
    if (system.appendedRecordCount < instance.records.size())
        events.push_back({ EventKind::Append, 0 });
    events.push_back({ EventKind::AdvanceClock, noStalledProcess });
    for (std::size_t index = 0; index < vmCount + upstreamCount && system.remainingStalls > 0; ++index)
        events.push_back({ EventKind::AdvanceClock, index });
    return events;
}

void applyEvent(const Instance& instance, SystemState& system, const Event& event, StepChoices& choices,
    std::vector<std::string>* trace)
{
    addTraceLine(trace, describe(system, event));
    startEvent(instance, system, event);
    while (!system.sendQueue.empty()) {
        const Message message = system.sendQueue.front();
        system.sendQueue.erase(system.sendQueue.begin());
        const Outcome outcome = chooseOutcome(instance, system, message, choices);
        addTraceLine(trace,
            std::string("  ") + outcomeNames[static_cast<std::size_t>(outcome)] + describeMessage(message));
        if (outcome == Outcome::Arrives)
            deliver(instance, system, message);
        else if (outcome == Outcome::Late)
            system.lateMessages.push_back(message);
    }
}

void recordRequestsInFlight(const Instance& instance, SystemState& system)
{
    if (instance.checksGrants)
        return;
    for (std::size_t index = 0; index < vmCount; ++index) {
        const std::optional<Ownership::ServingUpstream> serving
            = Ownership::findServingUpstream(system.vms[index]->state, onlyShard(), vmNow);
        if (!serving.has_value())
            continue;
        Vm vm = *system.vms[index];
        vm.inFlightTicks[upstreamIndex(serving->upstream)] = static_cast<std::uint8_t>(instance.maxInFlight);
        system.vms[index] = std::make_shared<const Vm>(vm);
    }
}

std::optional<std::string> findViolation(const Instance& instance, const SystemState& system)
{
    if (std::count_if(system.holders.begin(), system.holders.end(), holds) > 1)
        return "two upstreams hold the shard";
    for (std::size_t index = 0; index < vmCount; ++index) {
        const std::optional<Ownership::ServingUpstream> serving
            = Ownership::findServingUpstream(system.vms[index]->state, onlyShard(), vmNow);
        if (!serving.has_value())
            continue;
        const std::size_t upstream = upstreamIndex(serving->upstream);
        if (!instance.checksGrants && isOtherRequestInFlight(system, index, upstream))
            return "vm" + std::to_string(index) + " sends to " + serving->upstream.value
                + " while a request of another sender may be in flight";
        const Ownership::HolderState& holder = system.holders[upstream];
        const bool sameIncarnation
            = holder.incarnation == system.vms[index]->state.assignment.upstreams.at(serving->upstream);
        if (instance.checksGrants && instance.maxStalls == 0 && instance.holderFault == HolderFault::None
            && sameIncarnation && holder.fenceLevel <= serving->level && !holds(holder))
            return "vm" + std::to_string(index) + " sends to " + serving->upstream.value
                + ", which holds nothing";
    }
    return std::nullopt;
}

} // namespace Explorer
