#include <ownership/duemessages.h>

#include <ownership/attestation.h>
#include <ownership/granterrules.h>
#include <ownership/retirement.h>

#include <algorithm>
#include <set>

namespace Ownership::Internal {

namespace {

std::uint64_t remember(GranterState& state, PendingQuery ask)
{
    ++state.lastQueryId;
    state.pendingQueries.emplace(state.lastQueryId, std::move(ask));
    return state.lastQueryId;
}

/// Drops asks whose answers could no longer be of use, so that their number is bounded.
void forgetOldAsks(GranterState& state, Utils::Instant now)
{
    const Utils::Duration useful = state.options.leasePolicy.lease + state.options.leasePolicy.proofWindow;
    std::erase_if(
        state.pendingQueries, [now, useful](const std::pair<const std::uint64_t, PendingQuery>& entry) {
            return now - entry.second.sentAt > useful;
        });
}

std::map<Utils::UpstreamId, std::set<Utils::ShardId>> wantedShards(
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

/// Whether the clock that the holder showed is new enough for a grant not to end before it arrives.
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
    const std::uint64_t ask = remember(state, PendingQuery { now, upstream, {}, sent.sequence });
    actions.push_back(SendGrant { upstream, ask,
        GrantRequest { state.level, view.incarnation, sent.sequence, sent.expiresAt, shards } });
}

void sendFence(
    GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now, std::vector<Action>& actions)
{
    const std::uint64_t ask = remember(state, PendingQuery { now, upstream, {}, 0 });
    actions.push_back(SendFence { upstream, ask, FenceRequest { state.level, 0 } });
}

/// Grants \a wanted if that is possible, also to take away what the upstream holds besides.
void askUpstream(GranterState& state, const Utils::UpstreamId& upstream,
    const std::set<Utils::ShardId>& wanted, Utils::Instant now, std::vector<Action>& actions)
{
    UpstreamView& view = state.upstreams.at(upstream);
    const bool named
        = view.incarnation == namedIncarnation(state, upstream) || isWaived(state, Guard::GrantNamedStart);
    const std::set<Utils::ShardId> granted = named ? wanted : std::set<Utils::ShardId>();
    const bool holdsMore = now < view.heldUntil
        && !std::includes(granted.begin(), granted.end(), view.heldShards.begin(), view.heldShards.end());
    const std::set<Utils::ShardId> last
        = view.sentGrants.empty() ? std::set<Utils::ShardId>() : view.sentGrants.back().shards;
    const bool grants = checksGrants(state, upstream) && canGrant(state, view, now)
        && (!granted.empty() || holdsMore || !last.empty());
    const bool firstGrant = view.lastSentSequence == 0 && holdsMore;
    const bool changed = grants && (granted != last || firstGrant);
    if (now < view.nextQueryAt && !changed)
        return;
    view.nextQueryAt = now + state.options.leasePolicy.renewEvery;
    if (grants)
        sendGrant(state, upstream, granted, now, actions);
    else
        sendFence(state, upstream, now, actions);
}

void askToStop(GranterState& state, const Agreement::VmStart& peer, PeerView& view, Utils::Instant now,
    std::vector<Action>& actions)
{
    if (view.stoppedAt.has_value() || now < view.nextStopRequestAt)
        return;
    view.nextStopRequestAt = now + state.options.leasePolicy.renewEvery;
    const std::uint64_t ask = remember(state, PendingQuery { now, {}, peer, 0 });
    actions.push_back(SendPeerMessage { peer, StopRequest { state.assignment.pool, state.level, ask } });
}

void askToAttest(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const Agreement::VmStart& other = findPeerVm(state, state.level);
    if (other.vm.value.empty())
        return;
    PeerView& view = state.peers[other];
    if (now < view.nextAttestRequestAt)
        return;
    view.nextAttestRequestAt = now + state.options.leasePolicy.renewEvery;
    const std::uint64_t ask = remember(state, PendingQuery { now, {}, other, 0 });
    actions.push_back(SendPeerMessage { other, AttestRequest { state.assignment.pool, state.level, ask } });
}

void askPeers(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const bool unsettled = std::any_of(state.previousAssignments.begin(), state.previousAssignments.end(),
        [&](const Agreement::FormerAssignment& earlier) {
            return !isAssignmentRetired(state, earlier, now);
        });
    for (const Agreement::FormerAssignment& earlier : state.previousAssignments) {
        for (const Agreement::VmStart& peer : { earlier.dispatcher, earlier.successor }) {
            if (unsettled && !peer.vm.value.empty())
                askToStop(state, peer, state.peers[peer], now, actions);
        }
    }
    askToAttest(state, now, actions);
}

} // namespace

void sendDueMessages(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    forgetOldAsks(state, now);
    const std::map<Utils::UpstreamId, std::set<Utils::ShardId>> wanted = wantedShards(state, now);
    for (const std::pair<const Utils::UpstreamId, UpstreamView>& entry : state.upstreams) {
        const std::map<Utils::UpstreamId, std::set<Utils::ShardId>>::const_iterator found
            = wanted.find(entry.first);
        const std::set<Utils::ShardId> shards
            = found == wanted.end() ? std::set<Utils::ShardId>() : found->second;
        askUpstream(state, entry.first, shards, now, actions);
    }
    askPeers(state, now, actions);
}

} // namespace Ownership::Internal
