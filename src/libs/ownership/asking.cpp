#include <ownership/asking.h>

#include <ownership/attestation.h>
#include <ownership/granterrules.h>
#include <ownership/settlement.h>

#include <algorithm>
#include <set>

namespace Ownership::Internal {

namespace {

std::uint64_t remember(GranterState& state, Ask ask)
{
    ++state.lastAsk;
    state.asks.emplace(state.lastAsk, std::move(ask));
    return state.lastAsk;
}

/// Drops asks whose answers could no longer be of use, so that their number is bounded.
void forgetOldAsks(GranterState& state, Utils::Instant now)
{
    const Utils::Duration useful = state.options.lease.lease + state.options.lease.proofWindow;
    std::erase_if(state.asks, [now, useful](const std::pair<const std::uint64_t, Ask>& entry) {
        return now - entry.second.askedAt > useful;
    });
}

std::map<Utils::UpstreamId, std::set<Utils::ShardId>> wantedShards(
    const GranterState& state, Utils::Instant now)
{
    std::map<Utils::UpstreamId, std::set<Utils::ShardId>> wanted;
    for (const std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        const Utils::UpstreamId target = targetOf(state, entry.first);
        if (target.value.empty() || !checksGrants(state, target))
            continue;
        if (attested(state, target, entry.first, now) && clearOfOthers(state, target, entry.first, now))
            wanted[target].insert(entry.first);
    }
    return wanted;
}

/// Whether the clock that the holder showed is new enough for a grant not to end before it arrives.
bool canGrant(const GranterState& state, const UpstreamView& view, Utils::Instant now)
{
    return view.fenced && now - view.answeredAt < state.options.lease.lease;
}

void sendGrant(GranterState& state, const Utils::UpstreamId& upstream, const std::set<Utils::ShardId>& shards,
    Utils::Instant now, std::vector<Action>& actions)
{
    UpstreamView& view = state.upstreams.at(upstream);
    const Utils::Duration lease = state.options.lease.lease;
    SentGrant sent;
    sent.sequence = ++view.sequence;
    sent.shards = shards;
    sent.expiresAt = view.clock + lease.count();
    sent.until = view.answeredAt + stretched(state, lease);
    if (!shards.empty()) {
        Utils::Instant& until = state.grantedUntil[upstream];
        until = std::max(until, sent.until);
    }
    view.sent.push_back(sent);
    const std::uint64_t ask = remember(state, Ask { now, upstream, {}, sent.sequence });
    actions.push_back(SendGrant { upstream, ask,
        GrantRequest { state.level, view.incarnation, sent.sequence, sent.expiresAt, shards } });
}

void sendFence(
    GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now, std::vector<Action>& actions)
{
    const std::uint64_t ask = remember(state, Ask { now, upstream, {}, 0 });
    actions.push_back(SendFence { upstream, ask, FenceRequest { state.level, 0 } });
}

/// Grants \a wanted if that is possible, also to take away what the upstream holds besides.
void askUpstream(GranterState& state, const Utils::UpstreamId& upstream,
    const std::set<Utils::ShardId>& wanted, Utils::Instant now, std::vector<Action>& actions)
{
    UpstreamView& view = state.upstreams.at(upstream);
    const bool named
        = view.incarnation == namedIncarnation(state, upstream) || waived(state, Guard::GrantNamedStart);
    const std::set<Utils::ShardId> granted = named ? wanted : std::set<Utils::ShardId>();
    const bool holdsMore = now < view.heldUntil
        && !std::includes(granted.begin(), granted.end(), view.held.begin(), view.held.end());
    const std::set<Utils::ShardId> last
        = view.sent.empty() ? std::set<Utils::ShardId>() : view.sent.back().shards;
    const bool grants = checksGrants(state, upstream) && canGrant(state, view, now)
        && (!granted.empty() || holdsMore || !last.empty());
    const bool firstGrant = view.sequence == 0 && holdsMore;
    const bool changed = grants && (granted != last || firstGrant);
    if (now < view.nextAskAt && !changed)
        return;
    view.nextAskAt = now + state.options.lease.renewEvery;
    if (grants)
        sendGrant(state, upstream, granted, now, actions);
    else
        sendFence(state, upstream, now, actions);
}

void askToStop(GranterState& state, const Agreement::VmStart& peer, PeerView& view, Utils::Instant now,
    std::vector<Action>& actions)
{
    if (view.stoppedAt.has_value() || now < view.nextStopAt)
        return;
    view.nextStopAt = now + state.options.lease.renewEvery;
    const std::uint64_t ask = remember(state, Ask { now, {}, peer, 0 });
    actions.push_back(SendPeer { peer, StopRequest { state.assignment.pool, state.level, ask } });
}

void askToAttest(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const Agreement::VmStart& other = otherVm(state, state.level);
    if (other.vm.value.empty())
        return;
    PeerView& view = state.peers[other];
    if (now < view.nextAttestAt)
        return;
    view.nextAttestAt = now + state.options.lease.renewEvery;
    const std::uint64_t ask = remember(state, Ask { now, {}, other, 0 });
    actions.push_back(SendPeer { other, AttestRequest { state.assignment.pool, state.level, ask } });
}

void askPeers(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const bool unsettled = std::any_of(state.earlier.begin(), state.earlier.end(),
        [&](const Agreement::FormerAssignment& earlier) { return !settledAssignment(state, earlier, now); });
    for (const Agreement::FormerAssignment& earlier : state.earlier) {
        for (const Agreement::VmStart& peer : { earlier.dispatcher, earlier.successor }) {
            if (unsettled && !peer.vm.value.empty())
                askToStop(state, peer, state.peers[peer], now, actions);
        }
    }
    askToAttest(state, now, actions);
}

} // namespace

void askAll(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
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
