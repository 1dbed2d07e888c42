#include <ownership/holderanswers.h>

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
    fresh.nextAskAt = now;
    fresh.sequence = view.sequence;
    view = fresh;
}

void recordClock(UpstreamView& view, const Ask& ask, const HolderAnswer& answer, Utils::Instant now)
{
    if (answer.clock < view.clock)
        return;
    view.clock = answer.clock;
    view.askedAt = ask.askedAt;
    view.answeredAt = now;
}

/// The first answer of a start at this level says what it holds under earlier ones.
void recordHeld(const GranterState& state, UpstreamView& view, const HolderAnswer& answer, Utils::Instant now)
{
    if (answer.heldUntil <= answer.clock)
        return;
    view.held = answer.shards;
    view.heldUntil = now + stretched(state, Utils::Duration(answer.heldUntil - answer.clock));
}

/// A grant that was accepted replaced all before it, and no older one can follow.
void recordAccepted(UpstreamView& view, std::uint64_t sequence)
{
    if (sequence <= view.ackedSequence)
        return;
    view.ackedSequence = sequence;
    view.held.clear();
    std::erase_if(view.sent, [sequence](const SentGrant& grant) { return grant.sequence < sequence; });
}

} // namespace

void recordAnswer(GranterState& state, const Ask& ask, const HolderAnswer& answer, Utils::Instant now)
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
    if (!view.fenced)
        recordHeld(state, view, answer, now);
    view.fenced = true;
    if (!view.fencedAt.has_value())
        view.fencedAt = now;
    if (answer.incarnation == named || waived(state, Guard::NamedUpstreamAttests)) {
        const Utils::Instant proof = waived(state, Guard::ProofFromAsk) ? now : ask.askedAt;
        view.proofAskedAt = std::max(view.proofAskedAt, std::optional<Utils::Instant>(proof));
    }
    if (ask.sequence != 0 && answer.verdict == HolderVerdict::Accepted)
        recordAccepted(view, ask.sequence);
}

} // namespace Ownership::Internal
