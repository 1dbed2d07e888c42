#include <ownership/serving.h>

#include <ownership/attestation.h>
#include <ownership/granter.h>
#include <ownership/granterrules.h>
#include <ownership/settlement.h>

#include <algorithm>

namespace Ownership {

namespace Internal {

namespace {

const SentGrant* ackedGrant(const UpstreamView& view)
{
    const std::vector<SentGrant>::const_iterator found = std::find_if(view.sent.begin(), view.sent.end(),
        [&view](const SentGrant& grant) { return grant.sequence == view.ackedSequence; });
    return found == view.sent.end() ? nullptr : &*found;
}

/// Whether a later grant, answered or not, takes \a shard away.
bool takenAway(const UpstreamView& view, const Utils::ShardId& shard)
{
    return std::any_of(view.sent.begin(), view.sent.end(), [&](const SentGrant& grant) {
        return grant.sequence > view.ackedSequence && !grant.shards.contains(shard);
    });
}

bool mayServe(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now)
{
    const std::optional<Utils::Instant> until = servableUntil(state, holder, shard);
    if (!until.has_value() || now >= *until)
        return false;
    if (checksGrants(state, holder))
        return true;
    return available(state, holder, now) && clearOfOthers(state, holder, shard, now)
        && soleSender(state, holder, shard, now);
}

void endServing(GranterState& state, const Utils::ShardId& shard, const Utils::UpstreamId& holder,
    Utils::Instant now, std::vector<Action>& actions)
{
    if (!checksGrants(state, holder)) {
        Utils::Instant& until = state.grantedUntil[holder];
        until = std::max(until, now + state.options.maxInFlight);
    }
    state.served.erase(shard);
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
    const SentGrant* grant = ackedGrant(view);
    if (grant == nullptr || !grant->shards.contains(shard) || takenAway(view, shard))
        return std::nullopt;
    const Utils::Duration left(grant->expiresAt - view.clock);
    const std::int64_t slow = 1000 + state.options.lease.driftPerMille;
    return view.askedAt + left * 1000 / slow;
}

void updateServed(GranterState& state, Utils::Instant now, std::vector<Action>& actions)
{
    const std::map<Utils::ShardId, Utils::UpstreamId> before = state.served;
    const bool granting = state.role == GranterRole::Granting;
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : before) {
        if (!granting || targetOf(state, entry.first) != entry.second
            || !mayServe(state, entry.second, entry.first, now))
            endServing(state, entry.first, entry.second, now, actions);
    }
    if (!granting)
        return;
    for (const std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        const Utils::UpstreamId target = targetOf(state, entry.first);
        if (state.served.contains(entry.first) || target.value.empty()
            || !mayServe(state, target, entry.first, now))
            continue;
        state.served[entry.first] = target;
        actions.push_back(ShardServed { entry.first, target, state.level });
    }
}

} // namespace Internal

std::optional<ServingUpstream> servingUpstream(
    const GranterState& state, const Utils::ShardId& shard, Utils::Instant now)
{
    const std::map<Utils::ShardId, Utils::UpstreamId>::const_iterator served = state.served.find(shard);
    if (state.role != GranterRole::Granting || served == state.served.end())
        return std::nullopt;
    const std::optional<Utils::Instant> until = Internal::servableUntil(state, served->second, shard);
    if (!until.has_value() || now >= *until)
        return std::nullopt;
    return ServingUpstream { served->second, state.level };
}

} // namespace Ownership
