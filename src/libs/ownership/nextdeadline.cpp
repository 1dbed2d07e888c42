#include <ownership/nextdeadline.h>

#include <ownership/granterrules.h>
#include <ownership/serving.h>
#include <ownership/retirement.h>

#include <algorithm>
#include <optional>

namespace Ownership::Internal {

namespace {

/// Lowers \a next to \a candidate if \a candidate is in the future.
void consider(Utils::Instant& next, std::optional<Utils::Instant> candidate, Utils::Instant now)
{
    if (candidate.has_value() && *candidate > now)
        next = std::min(next, *candidate);
}

void considerUpstream(
    const GranterState& state, const UpstreamView& view, Utils::Instant now, Utils::Instant& next)
{
    consider(next, view.nextQueryAt, now);
    consider(next, view.heldUntil, now);
    const Utils::Instant lastContactAt = std::max(view.respondedAt, state.grantingSince);
    consider(next, lastContactAt + state.options.leasePolicy.suspectAfter, now);
    for (const SentGrant& grant : view.sentGrants)
        consider(next, grant.latestExpiry, now);
}

void considerPreviousAssignment(const GranterState& state, const Agreement::FormerAssignment& previous,
    Utils::Instant now, Utils::Instant& next)
{
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : previous.shards) {
        for (const Utils::UpstreamId& holder : { entry.second.owner, entry.second.standby })
            consider(next, findRetirementTime(state, previous, holder, entry.first), now);
    }
}

} // namespace

Utils::Instant findNextDeadline(const GranterState& state, Utils::Instant now)
{
    Utils::Instant next = Utils::Instant::max();
    for (const std::pair<const Utils::UpstreamId, UpstreamView>& entry : state.upstreams)
        considerUpstream(state, entry.second, now, next);
    for (const std::pair<const Agreement::VmStart, PeerView>& entry : state.peers) {
        if (!entry.second.stoppedAt.has_value() && !state.previousAssignments.empty())
            consider(next, entry.second.nextStopRequestAt, now);
        consider(next, entry.second.nextAttestRequestAt, now);
    }
    for (const Agreement::FormerAssignment& previous : state.previousAssignments)
        considerPreviousAssignment(state, previous, now, next);
    for (const std::pair<const Utils::ShardId, Utils::UpstreamId>& entry : state.servedShards)
        consider(next, servableUntil(state, entry.second, entry.first), now);
    for (const std::pair<const Utils::UpstreamId, Utils::Instant>& entry : state.grantedUntil)
        consider(next, entry.second, now);
    return next;
}

} // namespace Ownership::Internal
