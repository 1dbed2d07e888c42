#include "canonical.h"

#include "bytes.h"
#include "modelconstants.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Explorer {

namespace {

using SequenceMap = std::map<std::uint64_t, std::uint64_t>;

/// Query id of a response that matches no pending query.
constexpr std::uint64_t unknownQueryId = 999;

void clampPast(Utils::Instant& instant, Utils::Duration keep) { instant = std::max(instant, vmNow - keep); }

void clampPast(std::optional<Utils::Instant>& instant, Utils::Duration keep)
{
    if (instant.has_value())
        clampPast(*instant, keep);
}

void clearPast(std::optional<Utils::Instant>& instant, Utils::Duration keep)
{
    if (instant.has_value() && *instant < vmNow - keep)
        instant.reset();
}

/// The longest waiting times of an instance. Past times need to be distinguished only within them.
struct MaxWaits {
    Utils::Duration lease {};
    Utils::Duration retirement {};
    Utils::Duration proof {};
    Utils::Duration suspicion {};
};

MaxWaits computeMaxWaits(const Instance& instance)
{
    const Utils::Duration proof = instance.proofWindow * tickLength;
    const Utils::Duration maxEffectiveTime
        = (instance.checksGrants ? instance.lease : instance.maxInFlight) * tickLength;
    MaxWaits waits;
    waits.lease = instance.lease * tickLength;
    waits.retirement = (proof + maxEffectiveTime) * (1000 + instance.driftPerMille) / 1000 + tickLength;
    waits.proof = proof;
    waits.suspicion = instance.suspectAfter * tickLength;
    return waits;
}

void clampView(Ownership::UpstreamView& view, const MaxWaits& waits, bool hasPreviousAssignments)
{
    clampPast(view.fencedAt, hasPreviousAssignments ? waits.retirement : Utils::Duration(0));
    clearPast(view.lastAttestedQueryAt, waits.proof);
    clampPast(view.respondedAt, std::max(waits.lease, waits.suspicion));
    clampPast(view.nextQueryAt, Utils::Duration(0));
    if (view.heldUntil <= vmNow) {
        view.heldShards.clear();
        view.heldUntil = vmNow;
    }
    std::erase_if(
        view.sentGrants, [](const Ownership::SentGrant& grant) { return grant.latestExpiry <= vmNow; });
    if (!view.sentGrants.empty() || vmNow - view.respondedAt < waits.lease)
        return;
    view.queriedAt = vmNow;
    view.holderClock = holderNow - 4 * waits.retirement.count();
}

void clampPeer(Ownership::PeerView& view, const MaxWaits& waits)
{
    clearPast(view.lastAttestedQueryAt, waits.proof);
    clampPast(view.stoppedAt, waits.retirement);
    clampPast(view.nextStopRequestAt, Utils::Duration(0));
    clampPast(view.nextAttestRequestAt, Utils::Duration(0));
    std::erase_if(view.grantedUntil, [](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
        return entry.second <= vmNow;
    });
}

/// Clears the state that only a granter uses.
void clearGrantingState(Ownership::GranterState& state)
{
    state.grantingSince = vmNow;
    state.previousAssignments.clear();
    state.upstreams.clear();
    state.peers.clear();
    state.shards.clear();
}

void clampTimes(const Instance& instance, Ownership::GranterState& state)
{
    const MaxWaits waits = computeMaxWaits(instance);
    clampPast(state.grantingSince, waits.suspicion);
    state.lastDispatcherContactAt.reset();
    state.nextTickAt = vmNow;
    std::erase_if(state.grantedUntil, [](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
        return entry.second <= vmNow;
    });
    if (state.role != Ownership::GranterRole::Granting)
        clearGrantingState(state);
    for (std::pair<const Utils::UpstreamId, Ownership::UpstreamView>& entry : state.upstreams)
        clampView(entry.second, waits, !state.previousAssignments.empty());
    for (std::pair<const Agreement::VmStart, Ownership::PeerView>& entry : state.peers)
        clampPeer(entry.second, waits);
    for (std::pair<const Utils::ShardId, Ownership::ShardView>& entry : state.shards)
        clampPast(entry.second.ownerRequestsEndedAt, waits.retirement);
}

/// The query id of \a vm in the request or response \a message; null if the query was not sent by \a vm.
std::uint64_t* findQueryId(Message& message, std::size_t vm, const Vm& state)
{
    if (!std::holds_alternative<Ownership::PeerMessage>(message.body))
        return message.vm == vm && message.vmIncarnation == state.incarnation ? &message.queryId : nullptr;
    Ownership::PeerMessage& peer = std::get<Ownership::PeerMessage>(message.body);
    const bool sent = message.vm == vm && message.vmIncarnation == state.incarnation;
    if (Ownership::AttestRequest* request = std::get_if<Ownership::AttestRequest>(&peer))
        return sent && request->level == state.state.level ? &request->queryId : nullptr;
    if (Ownership::StopRequest* request = std::get_if<Ownership::StopRequest>(&peer))
        return sent && request->level == state.state.level ? &request->queryId : nullptr;
    if (message.counterpart != vm)
        return nullptr;
    if (Ownership::AttestResponse* response = std::get_if<Ownership::AttestResponse>(&peer))
        return &response->queryId;
    Ownership::StopResponse& response = std::get<Ownership::StopResponse>(peer);
    return response.queryId == 0 ? nullptr : &response.queryId;
}

void renumberQueries(SystemState& system, std::size_t index, Vm& vm)
{
    std::vector<std::uint64_t*> references;
    std::set<std::uint64_t> waiting;
    for (std::vector<Message>* messages : { &system.sendQueue, &system.lateMessages }) {
        for (Message& message : *messages) {
            std::uint64_t* reference = findQueryId(message, index, vm);
            if (reference == nullptr)
                continue;
            references.push_back(reference);
            if (vm.state.pendingQueries.contains(*reference))
                waiting.insert(*reference);
        }
    }
    std::map<std::uint64_t, std::uint64_t> renumbered;
    std::map<std::uint64_t, Ownership::PendingQuery> queries;
    for (const std::uint64_t query : waiting) {
        renumbered[query] = renumbered.size() + 1;
        queries[renumbered[query]] = vm.state.pendingQueries.at(query);
    }
    for (std::uint64_t* reference : references)
        *reference = renumbered.contains(*reference) ? renumbered.at(*reference) : unknownQueryId;
    vm.state.pendingQueries = std::move(queries);
    vm.state.lastQueryId = vm.state.pendingQueries.size();
}

/// Drops grants that can no longer get a response, unless they determine the expiry.
void mergeSentGrants(Vm& vm)
{
    std::set<std::uint64_t> waiting;
    for (const std::pair<const std::uint64_t, Ownership::PendingQuery>& entry : vm.state.pendingQueries)
        waiting.insert(entry.second.grantSequence);
    for (std::pair<const Utils::UpstreamId, Ownership::UpstreamView>& entry : vm.state.upstreams) {
        std::vector<Ownership::SentGrant>& sent = entry.second.sentGrants;
        std::vector<Ownership::SentGrant> kept;
        for (std::vector<Ownership::SentGrant>::const_iterator grant = sent.begin(); grant != sent.end();
             ++grant) {
            const bool superseded
                = std::any_of(grant + 1, sent.cend(), [&grant](const Ownership::SentGrant& later) {
                      return later.shards == grant->shards && later.latestExpiry >= grant->latestExpiry;
                  });
            if (!superseded || waiting.contains(grant->sequence)
                || grant->sequence == entry.second.acknowledgedSequence)
                kept.push_back(*grant);
        }
        sent = kept;
    }
}

void renumberSequences(SystemState& system, Vm& vm, std::size_t upstream)
{
    Ownership::UpstreamView& view = vm.state.upstreams.at(upstreamName(upstream));
    std::vector<std::uint64_t*> references { &view.lastSentSequence, &view.acknowledgedSequence };
    for (Ownership::SentGrant& grant : view.sentGrants)
        references.push_back(&grant.sequence);
    for (std::pair<const std::uint64_t, Ownership::PendingQuery>& query : vm.state.pendingQueries) {
        if (query.second.upstream == upstreamName(upstream))
            references.push_back(&query.second.grantSequence);
    }
    if (system.holders[upstream].grantedLevel == vm.state.level)
        references.push_back(&system.holders[upstream].sequence);
    for (std::vector<Message>* messages : { &system.sendQueue, &system.lateMessages }) {
        for (Message& message : *messages) {
            Ownership::GrantRequest* request = std::get_if<Ownership::GrantRequest>(&message.body);
            if (request != nullptr && message.counterpart == upstream && request->level == vm.state.level)
                references.push_back(&request->sequence);
        }
    }
    SequenceMap renumbered { { 0, 0 } };
    for (const std::uint64_t* reference : references)
        renumbered[*reference] = 0;
    std::uint64_t next = 0;
    for (std::pair<const std::uint64_t, std::uint64_t>& entry : renumbered)
        entry.second = next++;
    for (std::uint64_t* reference : references)
        *reference = renumbered.at(*reference);
}

bool isAwaited(const SystemState& system, const Message& message)
{
    const Vm& vm = *system.vms[message.vm];
    return message.vmIncarnation == vm.incarnation && vm.state.pendingQueries.contains(message.queryId);
}

/// Whether the upstream rejects the grant and no query waits for the rejection.
bool isIneffectiveGrant(
    const SystemState& system, const Message& message, const Ownership::GrantRequest& grant)
{
    const Ownership::HolderState& holder = system.holders[message.counterpart];
    const bool rejected = grant.expiresAt <= holderNow || grant.incarnation != holder.incarnation
        || grant.level < holder.fenceLevel;
    return rejected && !isAwaited(system, message);
}

/// Whether a response has no effect on its receiver.
bool isIneffectiveResponse(
    const SystemState& system, const Message& message, const Ownership::PeerMessage& peer)
{
    const Ownership::GranterState& receiver = system.vms[message.counterpart]->state;
    if (const Ownership::AttestResponse* response = std::get_if<Ownership::AttestResponse>(&peer))
        return response->highestKnownLevel <= receiver.highestKnownLevel
            && !(response->level == receiver.level && receiver.pendingQueries.contains(response->queryId));
    if (const Ownership::StopResponse* response = std::get_if<Ownership::StopResponse>(&peer))
        return response->queryId != 0 && response->highestKnownLevel <= receiver.highestKnownLevel
            && !(response->level == receiver.level && receiver.pendingQueries.contains(response->queryId));
    return false;
}

/// Drops late messages that can no longer have an effect.
void dropIneffectiveMessages(SystemState& system, bool holdersAreCorrect)
{
    std::erase_if(system.lateMessages, [&system, holdersAreCorrect](const Message& message) {
        if (std::holds_alternative<Ownership::HolderResponse>(message.body))
            return !isAwaited(system, message);
        if (const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&message.body))
            return holdersAreCorrect && isIneffectiveGrant(system, message, *grant);
        if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body))
            return isIneffectiveResponse(system, message, *peer);
        return false;
    });
}

void canonicaliseHolder(Ownership::HolderState& holder)
{
    if (holder.heldUntil > holderNow)
        return;
    holder.heldUntil = holderNow;
    holder.shards.clear();
}

void putMessage(Bytes& out, const Message& message)
{
    put(out, message.vm);
    put(out, message.vmIncarnation);
    put(out, message.counterpart);
    put(out, message.queryId);
    put(out, message.body);
}

Bytes serialiseVm(const Vm& vm)
{
    Bytes out;
    put(out, vm.incarnation);
    put(out, vm.readRecordCount);
    put(out, vm.hasTicked);
    put(out, vm.state);
    for (const std::uint8_t ticks : vm.inFlightTicks)
        put(out, ticks);
    return out;
}

std::shared_ptr<const Vm> internVm(VmTable& table, Vm vm)
{
    vm.digest = computeDigest(serialiseVm(vm));
    std::shared_ptr<const Vm>& stored = table.byDigest[vm.digest];
    if (stored == nullptr)
        stored = std::make_shared<const Vm>(std::move(vm));
    return stored;
}

bool isMessageBefore(const Message& first, const Message& second)
{
    Bytes firstBytes;
    Bytes secondBytes;
    putMessage(firstBytes, first);
    putMessage(secondBytes, second);
    return firstBytes < secondBytes;
}

void shiftState(Ownership::GranterState& state, Utils::Duration by)
{
    state.grantingSince -= by;
    for (std::pair<const Utils::UpstreamId, Ownership::UpstreamView>& entry : state.upstreams) {
        Ownership::UpstreamView& view = entry.second;
        if (view.fencedAt.has_value())
            *view.fencedAt -= by;
        if (view.lastAttestedQueryAt.has_value())
            *view.lastAttestedQueryAt -= by;
        view.queriedAt -= by;
        view.respondedAt -= by;
        view.heldUntil -= by;
        view.nextQueryAt -= by;
        for (Ownership::SentGrant& grant : view.sentGrants)
            grant.latestExpiry -= by;
    }
    for (std::pair<const Agreement::VmStart, Ownership::PeerView>& entry : state.peers) {
        Ownership::PeerView& view = entry.second;
        if (view.lastAttestedQueryAt.has_value())
            *view.lastAttestedQueryAt -= by;
        if (view.stoppedAt.has_value())
            *view.stoppedAt -= by;
        view.nextStopRequestAt -= by;
        view.nextAttestRequestAt -= by;
        for (std::pair<const Utils::UpstreamId, Utils::Instant>& until : view.grantedUntil)
            until.second -= by;
    }
    for (std::pair<const Utils::ShardId, Ownership::ShardView>& entry : state.shards) {
        if (entry.second.ownerRequestsEndedAt.has_value())
            *entry.second.ownerRequestsEndedAt -= by;
    }
    for (std::pair<const Utils::UpstreamId, Utils::Instant>& entry : state.grantedUntil)
        entry.second -= by;
    for (std::pair<const std::uint64_t, Ownership::PendingQuery>& entry : state.pendingQueries)
        entry.second.sentAt -= by;
}

void shiftHolderClock(Vm& vm, std::size_t upstream, std::int64_t by)
{
    const std::map<Utils::UpstreamId, Ownership::UpstreamView>::iterator found
        = vm.state.upstreams.find(upstreamName(upstream));
    if (found == vm.state.upstreams.end())
        return;
    found->second.holderClock -= by;
    for (Ownership::SentGrant& grant : found->second.sentGrants)
        grant.expiresAt -= by;
}

void shiftMessage(Message& message, std::size_t upstream, std::int64_t by)
{
    if (message.counterpart != upstream)
        return;
    if (Ownership::GrantRequest* request = std::get_if<Ownership::GrantRequest>(&message.body))
        request->expiresAt -= by;
    if (Ownership::HolderResponse* response = std::get_if<Ownership::HolderResponse>(&message.body)) {
        response->clock -= by;
        response->heldUntil -= by;
    }
}

} // namespace

Digest computeDigest(const std::string& bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.low64, hash.high64 };
}

void canonicalise(const Instance& instance, SystemState& system, VmTable& table)
{
    dropIneffectiveMessages(system, instance.holderFault == HolderFault::None);
    for (std::size_t index = 0; index < vmCount; ++index) {
        const bool idle = table.byDigest.contains(system.vms[index]->digest)
            && system.vms[index]->state.role != Ownership::GranterRole::Granting;
        if (idle)
            continue;
        Vm vm = *system.vms[index];
        clampTimes(instance, vm.state);
        renumberQueries(system, index, vm);
        mergeSentGrants(vm);
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            if (vm.state.upstreams.contains(upstreamName(upstream)))
                renumberSequences(system, vm, upstream);
        }
        system.vms[index] = internVm(table, std::move(vm));
    }
    for (Ownership::HolderState& holder : system.holders)
        canonicaliseHolder(holder);
    std::sort(system.lateMessages.begin(), system.lateMessages.end(), isMessageBefore);
}

Digest computeSystemDigest(const SystemState& system)
{
    Bytes out;
    for (const std::shared_ptr<const Vm>& vm : system.vms) {
        put(out, vm->digest.low);
        put(out, vm->digest.high);
    }
    for (const Ownership::HolderState& holder : system.holders)
        put(out, holder);
    put(out, system.log.size());
    for (const std::shared_ptr<const Agreement::PoolAssignment>& record : system.log)
        put(out, *record);
    put(out, system.sendQueue.size());
    for (const Message& message : system.sendQueue)
        putMessage(out, message);
    for (const Message& message : system.lateMessages)
        putMessage(out, message);
    put(out, system.remainingRestarts);
    put(out, system.remainingDuplicates);
    put(out, system.remainingStalls);
    return computeDigest(out);
}

void advanceTick(SystemState& system, std::size_t stalled)
{
    for (std::size_t index = 0; index < vmCount; ++index) {
        Vm vm = *system.vms[index];
        vm.digest = {};
        vm.hasTicked = false;
        for (std::uint8_t& ticks : vm.inFlightTicks)
            ticks = ticks == 0 ? 0 : static_cast<std::uint8_t>(ticks - 1);
        if (stalled != index)
            shiftState(vm.state, tickLength);
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            if (stalled != vmCount + upstream)
                shiftHolderClock(vm, upstream, tickLength.count());
        }
        system.vms[index] = std::make_shared<const Vm>(vm);
    }
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        if (stalled == vmCount + upstream)
            continue;
        system.holders[upstream].heldUntil -= tickLength.count();
        for (Message& message : system.lateMessages)
            shiftMessage(message, upstream, tickLength.count());
    }
}

} // namespace Explorer
