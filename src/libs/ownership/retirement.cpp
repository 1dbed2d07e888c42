#include <ownership/retirement.h>

#include <ownership/granterrules.h>

#include <algorithm>
#include <set>
#include <vector>

namespace Ownership::Internal {

namespace {

using OptionalInstant = std::optional<Utils::Instant>;
using ShardPairs = std::map<Utils::ShardId, Agreement::ShardAssignment>;

OptionalInstant earliest(const OptionalInstant& first, const OptionalInstant& second)
{
    if (!first.has_value() || !second.has_value())
        return first.has_value() ? first : second;
    return std::min(first, second);
}

bool isInPair(const Agreement::ShardAssignment& pair, const Utils::UpstreamId& upstream)
{
    return upstream == pair.owner || upstream == pair.standby;
}

/// The maximum time for which a grant or a request to \a holder is effective after it was sent.
Utils::Duration maxEffectiveTime(const GranterState& state, const Utils::UpstreamId& holder)
{
    if (checksGrants(state, holder))
        return state.options.leasePolicy.lease;
    return isWaived(state, Guard::WaitInFlight) ? Utils::Duration(0) : state.options.maxTimeInFlight;
}

/// The retirement time according to the holder's own response at this granter's level.
OptionalInstant findRetirementByHolder(const GranterState& state, const Agreement::FormerAssignment& previous,
    const Utils::UpstreamId& holder, const Utils::ShardId& shard)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(holder);
    if (found == state.upstreams.end() || found->second.incarnation == 0)
        return std::nullopt;
    const UpstreamView& view = found->second;
    const std::map<Utils::UpstreamId, Utils::Incarnation>::const_iterator named
        = previous.upstreams.find(holder);
    if (named == previous.upstreams.end() || named->second != view.incarnation)
        return Utils::Instant::min();
    if (!view.isFenced)
        return std::nullopt;
    if (!view.heldShards.contains(shard) || isWaived(state, Guard::WaitNamedLease))
        return view.fencedAt;
    return view.heldUntil;
}

/// The retirement time according to the granter's own report that it has stopped.
OptionalInstant findRetirementByStop(
    const GranterState& state, const Agreement::VmStart& granter, const Utils::UpstreamId& holder)
{
    const std::map<Agreement::VmStart, PeerView>::const_iterator found = state.peers.find(granter);
    if (found == state.peers.end() || !found->second.stoppedAt.has_value())
        return std::nullopt;
    const PeerView& view = found->second;
    if (isWaived(state, Guard::WaitStoppedGrants))
        return view.stoppedAt;
    if (view.wasRestarted)
        return *view.stoppedAt + extendByClockDrift(state, maxEffectiveTime(state, holder));
    const std::map<Utils::UpstreamId, Utils::Instant>::const_iterator until = view.grantedUntil.find(holder);
    return until == view.grantedUntil.end() ? *view.stoppedAt : until->second;
}

/// When each attestor of a granter for \a holder stopped attesting; nullopt for one that may still attest.
std::vector<OptionalInstant> findAttestorEnds(const GranterState& state,
    const Agreement::ShardAssignment& pair, const Agreement::VmStart& peerVm, const Utils::UpstreamId& holder)
{
    std::vector<OptionalInstant> attestorEnds;
    if (!peerVm.vm.value.empty()) {
        const std::map<Agreement::VmStart, PeerView>::const_iterator vm = state.peers.find(peerVm);
        attestorEnds.push_back(vm == state.peers.end() ? OptionalInstant() : vm->second.stoppedAt);
    }
    for (const Utils::UpstreamId& upstream : { pair.owner, pair.standby }) {
        if (upstream.value.empty() || upstream == holder || !checksGrants(state, upstream))
            continue;
        const std::map<Utils::UpstreamId, UpstreamView>::const_iterator view = state.upstreams.find(upstream);
        attestorEnds.push_back(view == state.upstreams.end() ? OptionalInstant() : view->second.fencedAt);
    }
    return attestorEnds;
}

/// The retirement time if every attestor that could let a granter grant has stopped attesting.
OptionalInstant findRetirementByAttestors(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Agreement::VmStart& peerVm, const Utils::UpstreamId& holder)
{
    const std::vector<OptionalInstant> attestorEnds = findAttestorEnds(state, pair, peerVm, holder);
    if (attestorEnds.empty())
        return std::nullopt;
    OptionalInstant last = attestorEnds.front();
    for (const OptionalInstant& end : attestorEnds) {
        if (isWaived(state, Guard::EveryAttestor))
            last = earliest(last, end);
        else if (!end.has_value())
            return std::nullopt;
        else
            last = std::max(last, end);
    }
    if (!last.has_value())
        return std::nullopt;
    Utils::Duration wait = maxEffectiveTime(state, holder);
    if (!isWaived(state, Guard::WaitProofWindow))
        wait += state.options.leasePolicy.proofWindow;
    return *last + extendByClockDrift(state, wait);
}

bool hasPassed(const OptionalInstant& end, Utils::Instant now) { return end.has_value() && *end <= now; }

OptionalInstant findGranterRetirement(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Agreement::VmStart& granter, const Agreement::VmStart& peerVm, const Utils::UpstreamId& holder)
{
    if (granter.vm.value.empty())
        return Utils::Instant::min();
    return earliest(
        findRetirementByStop(state, granter, holder), findRetirementByAttestors(state, pair, peerVm, holder));
}

/// Whether a grant of this granter for \a shard to \a holder can be in force now.
bool isOwnGrantInForce(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now)
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
    const Agreement::FormerAssignment& previous, const Utils::UpstreamId& holder, const Utils::ShardId& shard)
{
    const ShardPairs::const_iterator pair = previous.shards.find(shard);
    if (pair == previous.shards.end() || !isInPair(pair->second, holder))
        return Utils::Instant::min();
    const OptionalInstant byHolder = checksGrants(state, holder)
        ? findRetirementByHolder(state, previous, holder, shard)
        : OptionalInstant();
    const OptionalInstant ofDispatcher
        = findGranterRetirement(state, pair->second, previous.dispatcher, previous.successor, holder);
    const OptionalInstant ofSuccessor = isWaived(state, Guard::EveryEarlierGranter)
        ? OptionalInstant(Utils::Instant::min())
        : findGranterRetirement(state, pair->second, previous.successor, previous.dispatcher, holder);
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
        [&](const Agreement::FormerAssignment& previous) {
            return hasPassed(findRetirementTime(state, previous, holder, shard), now);
        });
}

bool areAllGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now)
{
    return !isOwnGrantInForce(state, holder, shard, now)
        && arePreviousGrantsRetired(state, holder, shard, now);
}

bool areOtherHoldersRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now)
{
    std::set<Utils::UpstreamId> candidates;
    const ShardPairs::const_iterator current = state.assignment.shards.find(shard);
    if (current != state.assignment.shards.end())
        candidates.insert({ current->second.owner, current->second.standby });
    for (const Agreement::FormerAssignment& previous : state.previousAssignments) {
        const ShardPairs::const_iterator pair = previous.shards.find(shard);
        if (pair != previous.shards.end())
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
        [&](const Agreement::FormerAssignment& previous) {
            const ShardPairs::const_iterator pair = previous.shards.find(shard);
            if (pair == previous.shards.end() || !isInPair(pair->second, holder))
                return true;
            const bool dispatcherDone = previous.dispatcher == state.self
                || hasPassed(findGranterRetirement(
                                 state, pair->second, previous.dispatcher, previous.successor, holder),
                    now);
            const bool successorDone = previous.successor == state.self
                || hasPassed(findGranterRetirement(
                                 state, pair->second, previous.successor, previous.dispatcher, holder),
                    now);
            return dispatcherDone && successorDone;
        });
}

bool isAssignmentRetired(
    const GranterState& state, const Agreement::FormerAssignment& previous, Utils::Instant now)
{
    for (const ShardPairs::value_type& shard : previous.shards) {
        for (const Utils::UpstreamId& holder : { shard.second.owner, shard.second.standby }) {
            if (holder.value.empty())
                continue;
            if (!hasPassed(findRetirementTime(state, previous, holder, shard.first), now))
                return false;
        }
    }
    return true;
}

} // namespace Ownership::Internal
