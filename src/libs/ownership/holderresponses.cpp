#include <ownership/holderresponses.h>

#include <ownership/granterrules.h>

#include <algorithm>

namespace Ownership::Internal {

namespace {

/// Forgets the start that answered before, and asks the new one at once. That some start was fenced stays
/// known.
void startAnew(UpstreamView& view, Utils::Incarnation incarnation, Utils::Instant now)
{
    UpstreamView fresh;
    fresh.incarnation = incarnation;
    fresh.fencedAt = view.fencedAt;
    fresh.nextQueryAt = now;
    fresh.lastSentSequence = view.lastSentSequence;
    view = fresh;
}

void recordClock(
    UpstreamView& view, const PendingQuery& ask, const HolderResponse& answer, Utils::Instant now)
{
    if (answer.clock < view.holderClock)
        return;
    view.holderClock = answer.clock;
    view.queriedAt = ask.sentAt;
    view.respondedAt = now;
}

/// The first answer of a start at this level says what it holds under earlier ones.
void recordHeld(
    const GranterState& state, UpstreamView& view, const HolderResponse& answer, Utils::Instant now)
{
    if (answer.heldUntil <= answer.clock)
        return;
    view.heldShards = answer.shards;
    view.heldUntil = now + extendByClockDrift(state, Utils::Duration(answer.heldUntil - answer.clock));
}

/// A grant that was accepted replaced all before it, and no older one can follow.
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
    GranterState& state, const PendingQuery& ask, const HolderResponse& answer, Utils::Instant now)
{
    UpstreamView& view = state.upstreams[ask.upstream];
    const bool checks = checksGrants(state, ask.upstream);
    const Utils::Incarnation named = namedIncarnation(state, ask.upstream);
    const bool otherStart = view.incarnation != 0 && answer.incarnation != view.incarnation;
    if (otherStart && answer.incarnation == named)
        return;
    if (otherStart)
        startAnew(view, answer.incarnation, now);
    if (checks && answer.level != state.level)
        return;
    view.incarnation = answer.incarnation;
    recordClock(view, ask, answer, now);
    if (!checks)
        return;
    if (!view.isFenced)
        recordHeld(state, view, answer, now);
    view.isFenced = true;
    if (!view.fencedAt.has_value())
        view.fencedAt = now;
    if (answer.incarnation == named || isWaived(state, Guard::NamedUpstreamAttests)) {
        const Utils::Instant proof = isWaived(state, Guard::ProofFromAsk) ? now : ask.sentAt;
        view.lastAttestedQueryAt = std::max(view.lastAttestedQueryAt, std::optional<Utils::Instant>(proof));
    }
    if (ask.grantSequence != 0 && answer.verdict == HolderVerdict::Accepted)
        recordAccepted(view, ask.grantSequence);
}

} // namespace Ownership::Internal
