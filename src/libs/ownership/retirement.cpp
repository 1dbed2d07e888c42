#include <ownership/retirement.h>

#include <ownership/granterrules.h>

#include <algorithm>
#include <set>
#include <vector>

namespace Ownership::Internal {

namespace {

using MaybeInstant = std::optional<Utils::Instant>;
using ShardPairs = std::map<Utils::ShardId, Agreement::ShardAssignment>;

MaybeInstant earliest(const MaybeInstant& first, const MaybeInstant& second)
{
    if (!first.has_value() || !second.has_value())
        return first.has_value() ? first : second;
    return std::min(first, second);
}

bool inPair(const Agreement::ShardAssignment& pair, const Utils::UpstreamId& upstream)
{
    return upstream == pair.owner || upstream == pair.standby;
}

/// How long a grant or a request to \a holder can act after it was sent.
Utils::Duration reach(const GranterState& state, const Utils::UpstreamId& holder)
{
    if (checksGrants(state, holder))
        return state.options.leasePolicy.lease;
    return isWaived(state, Guard::WaitInFlight) ? Utils::Duration(0) : state.options.maxTimeInFlight;
}

/// What the holder's own answer at this granter's level says.
MaybeInstant clearByHolder(const GranterState& state, const Agreement::FormerAssignment& earlier,
    const Utils::UpstreamId& holder, const Utils::ShardId& shard)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(holder);
    if (found == state.upstreams.end() || found->second.incarnation == 0)
        return std::nullopt;
    const UpstreamView& view = found->second;
    const std::map<Utils::UpstreamId, Utils::Incarnation>::const_iterator named
        = earlier.upstreams.find(holder);
    if (named == earlier.upstreams.end() || named->second != view.incarnation)
        return Utils::Instant::min();
    if (!view.isFenced)
        return std::nullopt;
    if (!view.heldShards.contains(shard) || isWaived(state, Guard::WaitNamedLease))
        return view.fencedAt;
    return view.heldUntil;
}

/// The granter itself said that it has stopped.
MaybeInstant clearByStop(
    const GranterState& state, const Agreement::VmStart& granter, const Utils::UpstreamId& holder)
{
    const std::map<Agreement::VmStart, PeerView>::const_iterator found = state.peers.find(granter);
    if (found == state.peers.end() || !found->second.stoppedAt.has_value())
        return std::nullopt;
    const PeerView& view = found->second;
    if (isWaived(state, Guard::WaitStoppedGrants))
        return view.stoppedAt;
    if (view.wasRestarted)
        return *view.stoppedAt + extendByClockDrift(state, reach(state, holder));
    const std::map<Utils::UpstreamId, Utils::Instant>::const_iterator until = view.grantedUntil.find(holder);
    return until == view.grantedUntil.end() ? *view.stoppedAt : until->second;
}

/// When each attestor of \a granter for \a holder ended attesting; nothing for one that may still attest.
std::vector<MaybeInstant> attestorsEnded(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Agreement::VmStart& otherVm, const Utils::UpstreamId& holder)
{
    std::vector<MaybeInstant> ended;
    if (!otherVm.vm.value.empty()) {
        const std::map<Agreement::VmStart, PeerView>::const_iterator vm = state.peers.find(otherVm);
        ended.push_back(vm == state.peers.end() ? MaybeInstant() : vm->second.stoppedAt);
    }
    for (const Utils::UpstreamId& upstream : { pair.owner, pair.standby }) {
        if (upstream.value.empty() || upstream == holder || !checksGrants(state, upstream))
            continue;
        const std::map<Utils::UpstreamId, UpstreamView>::const_iterator view = state.upstreams.find(upstream);
        ended.push_back(view == state.upstreams.end() ? MaybeInstant() : view->second.fencedAt);
    }
    return ended;
}

/// No attestor is left that could let \a granter grant.
MaybeInstant clearByAttestors(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Agreement::VmStart& otherVm, const Utils::UpstreamId& holder)
{
    const std::vector<MaybeInstant> ended = attestorsEnded(state, pair, otherVm, holder);
    if (ended.empty())
        return std::nullopt;
    MaybeInstant last = ended.front();
    for (const MaybeInstant& end : ended) {
        if (isWaived(state, Guard::EveryAttestor))
            last = earliest(last, end);
        else if (!end.has_value())
            return std::nullopt;
        else
            last = std::max(last, end);
    }
    if (!last.has_value())
        return std::nullopt;
    Utils::Duration wait = reach(state, holder);
    if (!isWaived(state, Guard::WaitProofWindow))
        wait += state.options.leasePolicy.proofWindow;
    return *last + extendByClockDrift(state, wait);
}

bool passed(const MaybeInstant& end, Utils::Instant now) { return end.has_value() && *end <= now; }

MaybeInstant clearOfGranter(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Agreement::VmStart& granter, const Agreement::VmStart& otherVm, const Utils::UpstreamId& holder)
{
    if (granter.vm.value.empty())
        return Utils::Instant::min();
    return earliest(clearByStop(state, granter, holder), clearByAttestors(state, pair, otherVm, holder));
}

/// Whether this granter itself can have \a shard at \a holder now.
bool ownGrantInForce(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now)
{
    if (isWaived(state, Guard::WaitOwnGrants))
        return false;
    if (!checksGrants(state, holder)) {
        const std::map<Utils::UpstreamId, Utils::Instant>::const_iterator until
            = state.grantedUntil.find(holder);
        const std::map<Utils::ShardId, Utils::UpstreamId>::const_iterator served
            = state.servedShards.find(shard);
        const bool sending = served != state.servedShards.end() && served->second == holder;
        return sending || (until != state.grantedUntil.end() && now < until->second);
    }
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator view = state.upstreams.find(holder);
    if (view == state.upstreams.end())
        return false;
    const std::uint64_t newestCounted = isWaived(state, Guard::CountUnanswered)
        ? view->second.acknowledgedSequence
        : view->second.lastSentSequence;
    return std::any_of(
        view->second.sentGrants.begin(), view->second.sentGrants.end(), [&](const SentGrant& grant) {
            return grant.sequence <= newestCounted && now < grant.latestExpiry
                && grant.shards.contains(shard);
        });
}

} // namespace

std::optional<Utils::Instant> findRetirementTime(const GranterState& state,
    const Agreement::FormerAssignment& earlier, const Utils::UpstreamId& holder, const Utils::ShardId& shard)
{
    const ShardPairs::const_iterator pair = earlier.shards.find(shard);
    if (pair == earlier.shards.end() || !inPair(pair->second, holder))
        return Utils::Instant::min();
    const MaybeInstant byHolder
        = checksGrants(state, holder) ? clearByHolder(state, earlier, holder, shard) : MaybeInstant();
    const MaybeInstant ofDispatcher
        = clearOfGranter(state, pair->second, earlier.dispatcher, earlier.successor, holder);
    const MaybeInstant ofSuccessor = isWaived(state, Guard::EveryEarlierGranter)
        ? MaybeInstant(Utils::Instant::min())
        : clearOfGranter(state, pair->second, earlier.successor, earlier.dispatcher, holder);
    if (!ofDispatcher.has_value() || !ofSuccessor.has_value())
        return byHolder;
    return earliest(byHolder, std::max(ofDispatcher, ofSuccessor));
}

bool arePreviousGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now)
{
    if (isWaived(state, Guard::SettleEarlier))
        return true;
    return std::all_of(state.previousAssignments.begin(), state.previousAssignments.end(),
        [&](const Agreement::FormerAssignment& earlier) {
            return passed(findRetirementTime(state, earlier, holder, shard), now);
        });
}

bool areAllGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now)
{
    return !ownGrantInForce(state, holder, shard, now) && arePreviousGrantsRetired(state, holder, shard, now);
}

bool areOtherHoldersRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now)
{
    std::set<Utils::UpstreamId> candidates;
    const ShardPairs::const_iterator current = state.assignment.shards.find(shard);
    if (current != state.assignment.shards.end())
        candidates.insert({ current->second.owner, current->second.standby });
    for (const Agreement::FormerAssignment& earlier : state.previousAssignments) {
        const ShardPairs::const_iterator pair = earlier.shards.find(shard);
        if (pair != earlier.shards.end())
            candidates.insert({ pair->second.owner, pair->second.standby });
    }
    candidates.erase(Utils::UpstreamId());
    candidates.erase(holder);
    return std::all_of(candidates.begin(), candidates.end(), [&](const Utils::UpstreamId& candidate) {
        return areAllGrantsRetired(state, candidate, shard, now);
    });
}

bool isSoleSender(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now)
{
    return std::all_of(state.previousAssignments.begin(), state.previousAssignments.end(),
        [&](const Agreement::FormerAssignment& earlier) {
            const ShardPairs::const_iterator pair = earlier.shards.find(shard);
            if (pair == earlier.shards.end() || !inPair(pair->second, holder))
                return true;
            const bool dispatcherDone = earlier.dispatcher == state.self
                || passed(
                    clearOfGranter(state, pair->second, earlier.dispatcher, earlier.successor, holder), now);
            const bool successorDone = earlier.successor == state.self
                || passed(
                    clearOfGranter(state, pair->second, earlier.successor, earlier.dispatcher, holder), now);
            return dispatcherDone && successorDone;
        });
}

bool isAssignmentRetired(
    const GranterState& state, const Agreement::FormerAssignment& earlier, Utils::Instant now)
{
    for (const ShardPairs::value_type& shard : earlier.shards) {
        for (const Utils::UpstreamId& holder : { shard.second.owner, shard.second.standby }) {
            if (holder.value.empty())
                continue;
            if (!passed(findRetirementTime(state, earlier, holder, shard.first), now))
                return false;
        }
    }
    return true;
}

} // namespace Ownership::Internal
