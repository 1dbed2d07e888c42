#include <ownership/serving.h>

#include <ownership/attestation.h>
#include <ownership/granter.h>
#include <ownership/granterrules.h>
#include <ownership/retirement.h>

#include <algorithm>

namespace Ownership {

namespace Internal {

namespace {

const SentGrant* findAcknowledgedGrant(const UpstreamView& view)
{
    const std::vector<SentGrant>::const_iterator found
        = std::find_if(view.sentGrants.begin(), view.sentGrants.end(),
            [&view](const SentGrant& grant) { return grant.sequence == view.acknowledgedSequence; });
    return found == view.sentGrants.end() ? nullptr : &*found;
}

/// Whether a later grant, with or without a response, revokes \a shard.
bool isRevoked(const UpstreamView& view, const Utils::ShardId& shard)
{
    return std::any_of(view.sentGrants.begin(), view.sentGrants.end(), [&](const SentGrant& grant) {
        return grant.sequence > view.acknowledgedSequence && !grant.shards.contains(shard);
    });
}

bool canServe(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now)
{
    const std::optional<Utils::Instant> until = servableUntil(state, holder, shard);
    if (!until.has_value() || now >= *until)
        return false;
    if (checksGrants(state, holder))
        return true;
    return isAvailable(state, holder, now) && areOtherHoldersRetired(state, holder, shard, now)
        && isSoleSender(state, holder, shard, now);
}

void stopServing(GranterState& state, const Utils::ShardId& shard, const Utils::UpstreamId& holder,
    Utils::Instant now, std::vector<Action>& actions)
{
    if (!checksGrants(state, holder)) {
        Utils::Instant& until = state.grantedUntil[holder];
        until = std::max(until, now + state.options.maxTimeInFlight);
    }
    state.servedShards.erase(shard);
    actions.push_back(ShardUnserved { shard });
}

} // namespace

std::optional<Utils::Instant> servableUntil(
    const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard)
{
    if (!checksGrants(state, holder))
        return attestedUntil(state, holder, shard);
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(holder);
    if (found == state.upstreams.end())
        return std::nullopt;
    const UpstreamView& view = found->second;
    const SentGrant* grant = findAcknowledgedGrant(view);
    if (grant == nullptr || !grant->shards.contains(shard) || isRevoked(view, shard))
        return std::nullopt;
    const Utils::Duration remaining(grant->expiresAt - view.holderClock);
    const std::int64_t driftFactor = 1000 + state.options.leasePolicy.driftPerMille;
    return view.queriedAt + remaining * 1000 / driftFactor;
}

void updateServedShards(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const std::map<Utils::ShardId, Utils::UpstreamId> before = state.servedShards;
    const bool granting = state.role == GranterRole::Granting;
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : before) {
        if (!granting || findTarget(state, entry.first) != entry.second
            || !canServe(state, entry.second, entry.first, now))
            stopServing(state, entry.first, entry.second, now, actions);
    }
    if (!granting)
        return;
    for (const std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        const Utils::UpstreamId target = findTarget(state, entry.first);
        if (state.servedShards.contains(entry.first) || target.value.empty()
            || !canServe(state, target, entry.first, now))
            continue;
        state.servedShards[entry.first] = target;
        actions.push_back(ShardServed { entry.first, target, state.level });
    }
}

} // namespace Internal

std::optional<ServingUpstream> findServingUpstream(
    const GranterState& state, const Utils::ShardId& shard, Utils::Instant now)
{
    const std::map<Utils::ShardId, Utils::UpstreamId>::const_iterator served = state.servedShards.find(shard);
    if (state.role != GranterRole::Granting || served == state.servedShards.end())
        return std::nullopt;
    const std::optional<Utils::Instant> until = Internal::servableUntil(state, served->second, shard);
    if (!until.has_value() || now >= *until)
        return std::nullopt;
    return ServingUpstream { served->second, state.level };
}

} // namespace Ownership
