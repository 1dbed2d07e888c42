#include <ownership/granterrules.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

constexpr std::int64_t perMille = 1000;

} // namespace

bool isWaived(const GranterState& state, Guard guard) { return state.options.waivedGuards.contains(guard); }

Utils::Duration extendByClockDrift(const GranterState& state, Utils::Duration duration)
{
    if (isWaived(state, Guard::StretchByDrift))
        return duration;
    const std::int64_t factor = perMille + state.options.leasePolicy.driftPerMille;
    return Utils::Duration((duration.count() * factor + perMille - 1) / perMille);
}

bool checksGrants(const GranterState& state, const Utils::UpstreamId& upstream)
{
    return !state.options.upstreamsWithoutGrantChecks.contains(upstream);
}

bool isNamedStart(
    const GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& actual)
{
    if (named.vm.value.empty())
        return false;
    return isWaived(state, Guard::NamedVmStart) ? named.vm == actual.vm : named == actual;
}

Utils::Incarnation namedIncarnation(const GranterState& state, const Utils::UpstreamId& upstream)
{
    const std::map<Utils::UpstreamId, Utils::Incarnation>::const_iterator found
        = state.assignment.upstreams.find(upstream);
    return found == state.assignment.upstreams.end() ? 0 : found->second;
}

const Agreement::VmStart& findPeerVm(const GranterState& state, const GrantLevel& level)
{
    return level.epoch == 1 ? state.assignment.successor : state.assignment.dispatcher;
}

bool isAvailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(upstream);
    if (found == state.upstreams.end() || found->second.incarnation == 0)
        return false;
    return found->second.incarnation == namedIncarnation(state, upstream)
        && now - found->second.respondedAt < state.options.leasePolicy.suspectAfter;
}

bool isUnavailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(upstream);
    if (found == state.upstreams.end())
        return true;
    const UpstreamView& view = found->second;
    if (view.incarnation != 0 && view.incarnation != namedIncarnation(state, upstream))
        return true;
    const Utils::Instant lastContactAt = std::max(view.respondedAt, state.grantingSince);
    return now - lastContactAt >= state.options.leasePolicy.suspectAfter;
}

Utils::UpstreamId findTarget(const GranterState& state, const Utils::ShardId& shard)
{
    const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator pair
        = state.assignment.shards.find(shard);
    const std::map<Utils::ShardId, ShardView>::const_iterator view = state.shards.find(shard);
    if (pair == state.assignment.shards.end() || view == state.shards.end() || view->second.isReleased)
        return {};
    if (view->second.isOnStandby)
        return pair->second.standby;
    return view->second.ownerRequestsEndedAt.has_value() ? Utils::UpstreamId() : pair->second.owner;
}

} // namespace Ownership::Internal
