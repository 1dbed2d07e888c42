#include <ownership/granterrules.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

constexpr std::int64_t perMille = 1000;

} // namespace

bool waived(const GranterState& state, Guard guard) { return state.options.waived.contains(guard); }

Utils::Duration stretched(const GranterState& state, Utils::Duration duration)
{
    if (waived(state, Guard::StretchByDrift))
        return duration;
    const std::int64_t factor = perMille + state.options.lease.driftPerMille;
    return Utils::Duration((duration.count() * factor + perMille - 1) / perMille);
}

bool checksGrants(const GranterState& state, const Utils::UpstreamId& upstream)
{
    return !state.options.unchecked.contains(upstream);
}

bool isStart(const GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& actual)
{
    if (named.vm.value.empty())
        return false;
    return waived(state, Guard::NamedVmStart) ? named.vm == actual.vm : named == actual;
}

Utils::Incarnation namedIncarnation(const GranterState& state, const Utils::UpstreamId& upstream)
{
    const std::map<Utils::UpstreamId, Utils::Incarnation>::const_iterator found
        = state.assignment.upstreams.find(upstream);
    return found == state.assignment.upstreams.end() ? 0 : found->second;
}

const Agreement::VmStart& otherVm(const GranterState& state, const GrantLevel& level)
{
    return level.epoch == 1 ? state.assignment.successor : state.assignment.dispatcher;
}

bool available(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(upstream);
    if (found == state.upstreams.end() || found->second.incarnation == 0)
        return false;
    return found->second.incarnation == namedIncarnation(state, upstream)
        && now - found->second.answeredAt < state.options.lease.suspectAfter;
}

bool unavailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(upstream);
    if (found == state.upstreams.end())
        return true;
    const UpstreamView& view = found->second;
    if (view.incarnation != 0 && view.incarnation != namedIncarnation(state, upstream))
        return true;
    const Utils::Instant heard = std::max(view.answeredAt, state.grantingSince);
    return now - heard >= state.options.lease.suspectAfter;
}

Utils::UpstreamId targetOf(const GranterState& state, const Utils::ShardId& shard)
{
    const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator pair
        = state.assignment.shards.find(shard);
    const std::map<Utils::ShardId, ShardView>::const_iterator view = state.shards.find(shard);
    if (pair == state.assignment.shards.end() || view == state.shards.end() || view->second.released)
        return {};
    if (view->second.turned)
        return pair->second.standby;
    return view->second.leftAt.has_value() ? Utils::UpstreamId() : pair->second.owner;
}

} // namespace Ownership::Internal
