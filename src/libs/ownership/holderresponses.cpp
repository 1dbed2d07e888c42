#include <ownership/holderresponses.h>

#include <ownership/granterrules.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

/// Replaces the view of the previous incarnation and queries the new one at once. The time of the first fence
/// is kept, as it applies to any incarnation.
void resetView(UpstreamView& view, Utils::Incarnation incarnation, Utils::Instant now)
{
    UpstreamView newView;
    newView.incarnation = incarnation;
    newView.fencedAt = view.fencedAt;
    newView.nextQueryAt = now;
    newView.lastSentSequence = view.lastSentSequence;
    view = newView;
}

void recordClock(
    UpstreamView& view, const PendingQuery& query, const HolderResponse& response, Utils::Instant now)
{
    if (response.clock < view.holderClock)
        return;
    view.holderClock = response.clock;
    view.queriedAt = query.sentAt;
    view.respondedAt = now;
}

/// Records what an incarnation holds under earlier levels, from its first response at this level.
void recordHeld(
    const GranterState& state, UpstreamView& view, const HolderResponse& response, Utils::Instant now)
{
    if (response.heldUntil <= response.clock)
        return;
    view.heldShards = response.shards;
    view.heldUntil = now + extendByClockDrift(state, Utils::Duration(response.heldUntil - response.clock));
}

/// Drops the grants before an accepted one: it has replaced them, and an older one can't be accepted any
/// more.
void recordAccepted(UpstreamView& view, std::uint64_t sequence)
{
    if (sequence <= view.acknowledgedSequence)
        return;
    view.acknowledgedSequence = sequence;
    view.heldShards.clear();
    std::erase_if(view.sentGrants, [sequence](const SentGrant& grant) { return grant.sequence < sequence; });
}

} // namespace

void recordResponse(
    GranterState& state, const PendingQuery& query, const HolderResponse& response, Utils::Instant now)
{
    UpstreamView& view = state.upstreams[query.upstream];
    const bool checksItsGrants = checksGrants(state, query.upstream);
    const Utils::Incarnation named = namedIncarnation(state, query.upstream);
    const bool otherIncarnation = view.incarnation != 0 && response.incarnation != view.incarnation;
    if (otherIncarnation && response.incarnation == named)
        return;
    if (otherIncarnation)
        resetView(view, response.incarnation, now);
    if (checksItsGrants && response.level != state.level)
        return;
    view.incarnation = response.incarnation;
    recordClock(view, query, response, now);
    if (!checksItsGrants)
        return;
    if (!view.isFenced)
        recordHeld(state, view, response, now);
    view.isFenced = true;
    if (!view.fencedAt.has_value())
        view.fencedAt = now;
    if (response.incarnation == named || isWaived(state, Guard::NamedUpstreamAttests)) {
        const Utils::Instant attestedAt = isWaived(state, Guard::ProofFromAsk) ? now : query.sentAt;
        view.lastAttestedQueryAt
            = std::max(view.lastAttestedQueryAt, std::optional<Utils::Instant>(attestedAt));
    }
    if (query.grantSequence != 0 && response.verdict == HolderVerdict::Accepted)
        recordAccepted(view, query.grantSequence);
}

} // namespace Ownership::Internal
