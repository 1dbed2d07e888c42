#include <ownership/duemessages.h>

#include <ownership/attestation.h>
#include <ownership/granterrules.h>
#include <ownership/retirement.h>

#include <algorithm>
#include <set>

namespace Ownership::Internal {

namespace {

std::uint64_t addPendingQuery(GranterState& state, PendingQuery query)
{
    ++state.lastQueryId;
    state.pendingQueries.emplace(state.lastQueryId, std::move(query));
    return state.lastQueryId;
}

/// Drops queries whose responses would no longer be useful, which bounds their number.
void dropOldQueries(GranterState& state, Utils::Instant now)
{
    const Utils::Duration retention = state.options.leasePolicy.lease + state.options.leasePolicy.proofWindow;
    std::erase_if(
        state.pendingQueries, [now, retention](const std::pair<const std::uint64_t, PendingQuery>& entry) {
            return now - entry.second.sentAt > retention;
        });
}

std::map<Utils::UpstreamId, std::set<Utils::ShardId>> findGrantableShards(
    const GranterState& state, Utils::Instant now)
{
    std::map<Utils::UpstreamId, std::set<Utils::ShardId>> wanted;
    for (const std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        const Utils::UpstreamId target = findTarget(state, entry.first);
        if (target.value.empty() || !checksGrants(state, target))
            continue;
        if (isAttested(state, target, entry.first, now)
            && areOtherHoldersRetired(state, target, entry.first, now))
            wanted[target].insert(entry.first);
    }
    return wanted;
}

/// Whether the last known clock of the holder is recent enough that a grant does not expire before it
/// arrives.
bool canGrant(const GranterState& state, const UpstreamView& view, Utils::Instant now)
{
    return view.isFenced && now - view.respondedAt < state.options.leasePolicy.lease;
}

void sendGrant(GranterState& state, const Utils::UpstreamId& upstream, const std::set<Utils::ShardId>& shards,
    Utils::Instant now, std::vector<Action>& actions)
{
    UpstreamView& view = state.upstreams.at(upstream);
    const Utils::Duration lease = state.options.leasePolicy.lease;
    SentGrant sent;
    sent.sequence = ++view.lastSentSequence;
    sent.shards = shards;
    sent.expiresAt = view.holderClock + lease.count();
    sent.latestExpiry = view.respondedAt + extendByClockDrift(state, lease);
    if (!shards.empty()) {
        Utils::Instant& until = state.grantedUntil[upstream];
        until = std::max(until, sent.latestExpiry);
    }
    view.sentGrants.push_back(sent);
    const std::uint64_t queryId = addPendingQuery(state, PendingQuery { now, upstream, {}, sent.sequence });
    actions.push_back(SendGrant { upstream, queryId,
        GrantRequest { state.level, view.incarnation, sent.sequence, sent.expiresAt, shards } });
}

void sendFence(
    GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now, std::vector<Action>& actions)
{
    const std::uint64_t queryId = addPendingQuery(state, PendingQuery { now, upstream, {}, 0 });
    actions.push_back(SendFence { upstream, queryId, FenceRequest { state.level, 0 } });
}

/// Grants \a wanted if possible. A grant also revokes the other shards that the upstream holds.
void sendToUpstream(GranterState& state, const Utils::UpstreamId& upstream,
    const std::set<Utils::ShardId>& wanted, Utils::Instant now, std::vector<Action>& actions)
{
    UpstreamView& view = state.upstreams.at(upstream);
    const bool namedIncarnationRuns
        = view.incarnation == namedIncarnation(state, upstream) || isWaived(state, Guard::GrantNamedStart);
    const std::set<Utils::ShardId> granted = namedIncarnationRuns ? wanted : std::set<Utils::ShardId>();
    const bool holdsOthers = now < view.heldUntil
        && !std::includes(granted.begin(), granted.end(), view.heldShards.begin(), view.heldShards.end());
    const std::set<Utils::ShardId> lastGranted
        = view.sentGrants.empty() ? std::set<Utils::ShardId>() : view.sentGrants.back().shards;
    const bool grants = checksGrants(state, upstream) && canGrant(state, view, now)
        && (!granted.empty() || holdsOthers || !lastGranted.empty());
    const bool firstGrant = view.lastSentSequence == 0 && holdsOthers;
    const bool changed = grants && (granted != lastGranted || firstGrant);
    if (now < view.nextQueryAt && !changed)
        return;
    view.nextQueryAt = now + state.options.leasePolicy.renewEvery;
    if (grants)
        sendGrant(state, upstream, granted, now, actions);
    else
        sendFence(state, upstream, now, actions);
}

void requestStop(GranterState& state, const Agreement::VmStart& peer, PeerView& view, Utils::Instant now,
    std::vector<Action>& actions)
{
    if (view.stoppedAt.has_value() || now < view.nextStopRequestAt)
        return;
    view.nextStopRequestAt = now + state.options.leasePolicy.renewEvery;
    const std::uint64_t queryId = addPendingQuery(state, PendingQuery { now, {}, peer, 0 });
    actions.push_back(SendPeerMessage { peer, StopRequest { state.assignment.pool, state.level, queryId } });
}

void requestAttestation(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const Agreement::VmStart& peer = findPeerVm(state, state.level);
    if (peer.vm.value.empty())
        return;
    PeerView& view = state.peers[peer];
    if (now < view.nextAttestRequestAt)
        return;
    view.nextAttestRequestAt = now + state.options.leasePolicy.renewEvery;
    const std::uint64_t queryId = addPendingQuery(state, PendingQuery { now, {}, peer, 0 });
    actions.push_back(
        SendPeerMessage { peer, AttestRequest { state.assignment.pool, state.level, queryId } });
}

void sendToPeers(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const bool retiring = std::any_of(state.previousAssignments.begin(), state.previousAssignments.end(),
        [&](const Agreement::FormerAssignment& previous) {
            return !isAssignmentRetired(state, previous, now);
        });
    for (const Agreement::FormerAssignment& previous : state.previousAssignments) {
        for (const Agreement::VmStart& peer : { previous.dispatcher, previous.successor }) {
            if (retiring && !peer.vm.value.empty())
                requestStop(state, peer, state.peers[peer], now, actions);
        }
    }
    requestAttestation(state, now, actions);
}

} // namespace

void sendDueMessages(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    dropOldQueries(state, now);
    const std::map<Utils::UpstreamId, std::set<Utils::ShardId>> wanted = findGrantableShards(state, now);
    for (const std::pair<const Utils::UpstreamId, UpstreamView>& entry : state.upstreams) {
        const std::map<Utils::UpstreamId, std::set<Utils::ShardId>>::const_iterator found
            = wanted.find(entry.first);
        const std::set<Utils::ShardId> shards
            = found == wanted.end() ? std::set<Utils::ShardId>() : found->second;
        sendToUpstream(state, entry.first, shards, now, actions);
    }
    sendToPeers(state, now, actions);
}

} // namespace Ownership::Internal
