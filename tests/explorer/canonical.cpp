#include "canonical.h"

#include "bytes.h"
#include "modelconstants.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Explorer {

namespace {

using SequenceMap = std::map<std::uint64_t, std::uint64_t>;

/// Ask id of an answer that nobody waits for.
constexpr std::uint64_t unknownAsk = 999;

void clampPast(Utils::Instant& instant, Utils::Duration keep) { instant = std::max(instant, vmNow - keep); }

void clampPast(std::optional<Utils::Instant>& instant, Utils::Duration keep)
{
    if (instant.has_value())
        clampPast(*instant, keep);
}

void forgetPast(std::optional<Utils::Instant>& instant, Utils::Duration keep)
{
    if (instant.has_value() && *instant < vmNow - keep)
        instant.reset();
}

/// The longest waits of an instance, which bound what has to be told apart in the past.
struct Waits {
    Utils::Duration lease {};
    Utils::Duration settling {};
    Utils::Duration proof {};
    Utils::Duration suspicion {};
};

Waits waitsOf(const Instance& instance)
{
    const Utils::Duration proof = instance.proofWindow * tickLength;
    const Utils::Duration reach
        = (instance.checksGrants ? instance.lease : instance.maxInFlight) * tickLength;
    Waits waits;
    waits.lease = instance.lease * tickLength;
    waits.settling = (proof + reach) * (1000 + instance.driftPerMille) / 1000 + tickLength;
    waits.proof = proof;
    waits.suspicion = instance.suspectAfter * tickLength;
    return waits;
}

void clampView(Ownership::UpstreamView& view, const Waits& waits, bool settles)
{
    clampPast(view.fencedAt, settles ? waits.settling : Utils::Duration(0));
    forgetPast(view.lastAttestedQueryAt, waits.proof);
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
    view.holderClock = holderNow - 4 * waits.settling.count();
}

void clampPeer(Ownership::PeerView& view, const Waits& waits)
{
    forgetPast(view.lastAttestedQueryAt, waits.proof);
    clampPast(view.stoppedAt, waits.settling);
    clampPast(view.nextStopRequestAt, Utils::Duration(0));
    clampPast(view.nextAttestRequestAt, Utils::Duration(0));
    std::erase_if(view.grantedUntil, [](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
        return entry.second <= vmNow;
    });
}

/// What only a granter uses.
void forgetGranting(Ownership::GranterState& state)
{
    state.grantingSince = vmNow;
    state.previousAssignments.clear();
    state.upstreams.clear();
    state.peers.clear();
    state.shards.clear();
}

void clampTimes(const Instance& instance, Ownership::GranterState& state)
{
    const Waits waits = waitsOf(instance);
    clampPast(state.grantingSince, waits.suspicion);
    state.lastDispatcherContactAt.reset();
    state.nextTickAt = vmNow;
    std::erase_if(state.grantedUntil, [](const std::pair<const Utils::UpstreamId, Utils::Instant>& entry) {
        return entry.second <= vmNow;
    });
    if (state.role != Ownership::GranterRole::Granting)
        forgetGranting(state);
    for (std::pair<const Utils::UpstreamId, Ownership::UpstreamView>& entry : state.upstreams)
        clampView(entry.second, waits, !state.previousAssignments.empty());
    for (std::pair<const Agreement::VmStart, Ownership::PeerView>& entry : state.peers)
        clampPeer(entry.second, waits);
    for (std::pair<const Utils::ShardId, Ownership::ShardView>& entry : state.shards)
        clampPast(entry.second.ownerRequestsEndedAt, waits.settling);
}

/// The id by which \a vm knows the question that \a message asks or answers; null if it is not its question.
std::uint64_t* askOf(Message& message, std::size_t vm, const Vm& state)
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
    if (Ownership::AttestResponse* answer = std::get_if<Ownership::AttestResponse>(&peer))
        return &answer->queryId;
    Ownership::StopResponse& answer = std::get<Ownership::StopResponse>(peer);
    return answer.queryId == 0 ? nullptr : &answer.queryId;
}

void renumberAsks(SystemState& world, std::size_t index, Vm& vm)
{
    std::vector<std::uint64_t*> places;
    std::set<std::uint64_t> waiting;
    for (std::vector<Message>* messages : { &world.sendQueue, &world.lateMessages }) {
        for (Message& message : *messages) {
            std::uint64_t* place = askOf(message, index, vm);
            if (place == nullptr)
                continue;
            places.push_back(place);
            if (vm.state.pendingQueries.contains(*place))
                waiting.insert(*place);
        }
    }
    std::map<std::uint64_t, std::uint64_t> renamed;
    std::map<std::uint64_t, Ownership::PendingQuery> asks;
    for (const std::uint64_t ask : waiting) {
        renamed[ask] = renamed.size() + 1;
        asks[renamed[ask]] = vm.state.pendingQueries.at(ask);
    }
    for (std::uint64_t* place : places)
        *place = renamed.contains(*place) ? renamed.at(*place) : unknownAsk;
    vm.state.pendingQueries = std::move(asks);
    vm.state.lastQueryId = vm.state.pendingQueries.size();
}

/// A grant that can get no answer any more counts only by its end.
void mergeSent(Vm& vm)
{
    std::set<std::uint64_t> waiting;
    for (const std::pair<const std::uint64_t, Ownership::PendingQuery>& entry : vm.state.pendingQueries)
        waiting.insert(entry.second.grantSequence);
    for (std::pair<const Utils::UpstreamId, Ownership::UpstreamView>& entry : vm.state.upstreams) {
        std::vector<Ownership::SentGrant>& sent = entry.second.sentGrants;
        std::vector<Ownership::SentGrant> kept;
        for (std::vector<Ownership::SentGrant>::const_iterator grant = sent.begin(); grant != sent.end();
             ++grant) {
            const bool covered
                = std::any_of(grant + 1, sent.cend(), [&grant](const Ownership::SentGrant& later) {
                      return later.shards == grant->shards && later.latestExpiry >= grant->latestExpiry;
                  });
            if (!covered || waiting.contains(grant->sequence)
                || grant->sequence == entry.second.acknowledgedSequence)
                kept.push_back(*grant);
        }
        sent = kept;
    }
}

void renumberSequences(SystemState& world, Vm& vm, std::size_t upstream)
{
    Ownership::UpstreamView& view = vm.state.upstreams.at(upstreamName(upstream));
    std::vector<std::uint64_t*> places { &view.lastSentSequence, &view.acknowledgedSequence };
    for (Ownership::SentGrant& grant : view.sentGrants)
        places.push_back(&grant.sequence);
    for (std::pair<const std::uint64_t, Ownership::PendingQuery>& ask : vm.state.pendingQueries) {
        if (ask.second.upstream == upstreamName(upstream))
            places.push_back(&ask.second.grantSequence);
    }
    if (world.holders[upstream].grantedLevel == vm.state.level)
        places.push_back(&world.holders[upstream].sequence);
    for (std::vector<Message>* messages : { &world.sendQueue, &world.lateMessages }) {
        for (Message& message : *messages) {
            Ownership::GrantRequest* request = std::get_if<Ownership::GrantRequest>(&message.body);
            if (request != nullptr && message.counterpart == upstream && request->level == vm.state.level)
                places.push_back(&request->sequence);
        }
    }
    SequenceMap renamed { { 0, 0 } };
    for (const std::uint64_t* place : places)
        renamed[*place] = 0;
    std::uint64_t next = 0;
    for (std::pair<const std::uint64_t, std::uint64_t>& entry : renamed)
        entry.second = next++;
    for (std::uint64_t* place : places)
        *place = renamed.at(*place);
}

bool awaited(const SystemState& world, const Message& message)
{
    const Vm& vm = *world.vms[message.vm];
    return message.vmIncarnation == vm.incarnation && vm.state.pendingQueries.contains(message.queryId);
}

/// Whether the upstream refuses the grant and nobody waits for the refusal.
bool idleGrant(const SystemState& world, const Message& message, const Ownership::GrantRequest& grant)
{
    const Ownership::HolderState& holder = world.holders[message.counterpart];
    const bool refused = grant.expiresAt <= holderNow || grant.incarnation != holder.incarnation
        || grant.level < holder.fenceLevel;
    return refused && !awaited(world, message);
}

/// Whether an answer tells its receiver nothing.
bool idleAnswer(const SystemState& world, const Message& message, const Ownership::PeerMessage& peer)
{
    const Ownership::GranterState& receiver = world.vms[message.counterpart]->state;
    if (const Ownership::AttestResponse* answer = std::get_if<Ownership::AttestResponse>(&peer))
        return answer->highestKnownLevel <= receiver.highestKnownLevel
            && !(answer->level == receiver.level && receiver.pendingQueries.contains(answer->queryId));
    if (const Ownership::StopResponse* answer = std::get_if<Ownership::StopResponse>(&peer))
        return answer->queryId != 0 && answer->highestKnownLevel <= receiver.highestKnownLevel
            && !(answer->level == receiver.level && receiver.pendingQueries.contains(answer->queryId));
    return false;
}

/// Drops late messages that can have no effect any more.
void dropIdle(SystemState& world, bool faultless)
{
    std::erase_if(world.lateMessages, [&world, faultless](const Message& message) {
        if (std::holds_alternative<Ownership::HolderResponse>(message.body))
            return !awaited(world, message);
        if (const Ownership::GrantRequest* grant = std::get_if<Ownership::GrantRequest>(&message.body))
            return faultless && idleGrant(world, message, *grant);
        if (const Ownership::PeerMessage* peer = std::get_if<Ownership::PeerMessage>(&message.body))
            return idleAnswer(world, message, *peer);
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

Bytes vmBytes(const Vm& vm)
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

std::shared_ptr<const Vm> interned(VmTable& table, Vm vm)
{
    vm.digest = computeDigest(vmBytes(vm));
    std::shared_ptr<const Vm>& stored = table.byDigest[vm.digest];
    if (stored == nullptr)
        stored = std::make_shared<const Vm>(std::move(vm));
    return stored;
}

bool messageBefore(const Message& first, const Message& second)
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
    if (Ownership::HolderResponse* answer = std::get_if<Ownership::HolderResponse>(&message.body)) {
        answer->clock -= by;
        answer->heldUntil -= by;
    }
}

} // namespace

Digest computeDigest(const std::string& bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.low64, hash.high64 };
}

void canonicalise(const Instance& instance, SystemState& world, VmTable& table)
{
    dropIdle(world, instance.holderFault == HolderFault::None);
    for (std::size_t index = 0; index < vmCount; ++index) {
        const bool idle = table.byDigest.contains(world.vms[index]->digest)
            && world.vms[index]->state.role != Ownership::GranterRole::Granting;
        if (idle)
            continue;
        Vm vm = *world.vms[index];
        clampTimes(instance, vm.state);
        renumberAsks(world, index, vm);
        mergeSent(vm);
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            if (vm.state.upstreams.contains(upstreamName(upstream)))
                renumberSequences(world, vm, upstream);
        }
        world.vms[index] = interned(table, std::move(vm));
    }
    for (Ownership::HolderState& holder : world.holders)
        canonicaliseHolder(holder);
    std::sort(world.lateMessages.begin(), world.lateMessages.end(), messageBefore);
}

Digest computeSystemDigest(const SystemState& world)
{
    Bytes out;
    for (const std::shared_ptr<const Vm>& vm : world.vms) {
        put(out, vm->digest.low);
        put(out, vm->digest.high);
    }
    for (const Ownership::HolderState& holder : world.holders)
        put(out, holder);
    put(out, world.log.size());
    for (const std::shared_ptr<const Agreement::PoolAssignment>& record : world.log)
        put(out, *record);
    put(out, world.sendQueue.size());
    for (const Message& message : world.sendQueue)
        putMessage(out, message);
    for (const Message& message : world.lateMessages)
        putMessage(out, message);
    put(out, world.remainingRestarts);
    put(out, world.remainingDuplicates);
    put(out, world.remainingStalls);
    return computeDigest(out);
}

void advanceTick(SystemState& world, std::size_t stalled)
{
    for (std::size_t index = 0; index < vmCount; ++index) {
        Vm vm = *world.vms[index];
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
        world.vms[index] = std::make_shared<const Vm>(vm);
    }
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        if (stalled == vmCount + upstream)
            continue;
        world.holders[upstream].heldUntil -= tickLength.count();
        for (Message& message : world.lateMessages)
            shiftMessage(message, upstream, tickLength.count());
    }
}

} // namespace Explorer
