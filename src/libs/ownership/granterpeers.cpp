#include <ownership/attestation.h>
#include <ownership/granter.h>
#include <ownership/granterrules.h>
#include <ownership/granterlifecycle.h>

#include <algorithm>

namespace Ownership {

namespace {

using Actions = std::vector<Action>;

void receive(GranterState& state, const Agreement::VmStart& from, const AttestRequest& request,
    Utils::Instant now, Actions& actions)
{
    Internal::recordLevel(state, request.level, now, actions);
    const bool attested = Internal::canAttestTo(state, from, request.level);
    if (attested && request.level.epoch == 1)
        state.lastDispatcherContactAt = now;
    const GrantLevel highest = attested ? request.level : state.highestKnownLevel;
    const AttestResponse answer { request.pool, request.level, request.queryId, highest, attested };
    actions.push_back(SendPeerMessage { from, answer });
}

void receive(GranterState& state, const Agreement::VmStart& from, const StopRequest& request,
    Utils::Instant now, Actions& actions)
{
    Internal::recordLevel(state, request.level, now, actions);
    const StopResponse answer { request.pool, request.level, request.queryId, state.highestKnownLevel,
        Internal::computeRemainingGrantTimes(state, now) };
    actions.push_back(SendPeerMessage { from, answer });
}

/// The ask that an answer at \a level belongs to, if this granter still waits for it; it is then taken.
std::optional<PendingQuery> takeAsk(GranterState& state, const GrantLevel& level, std::uint64_t askId)
{
    const std::map<std::uint64_t, PendingQuery>::const_iterator found = state.pendingQueries.find(askId);
    if (state.role != GranterRole::Granting || level != state.level || found == state.pendingQueries.end())
        return std::nullopt;
    const PendingQuery ask = found->second;
    state.pendingQueries.erase(found);
    return ask;
}

void receive(GranterState& state, const Agreement::VmStart& from, const AttestResponse& answer,
    Utils::Instant now, Actions& actions)
{
    Internal::recordLevel(state, answer.highestKnownLevel, now, actions);
    const std::optional<PendingQuery> ask = takeAsk(state, answer.level, answer.queryId);
    if (!ask.has_value() || !answer.isAttested || !Internal::isNamedStart(state, ask->peer, from))
        return;
    const Utils::Instant proof = Internal::isWaived(state, Guard::ProofFromAsk) ? now : ask->sentAt;
    PeerView& view = state.peers[ask->peer];
    view.lastAttestedQueryAt = std::max(view.lastAttestedQueryAt, std::optional<Utils::Instant>(proof));
    Internal::advance(state, now, actions);
}

/// The dispatcher stops of its own accord: the successor begins at once.
void receiveHandOver(GranterState& state, const Agreement::VmStart& from, const StopResponse& answer,
    Utils::Instant now, Actions& actions)
{
    const GrantLevel second { state.assignment.token, 2 };
    if (state.role != GranterRole::Standby || answer.level != second
        || !Internal::isNamedStart(state, state.assignment.dispatcher, from)
        || state.highestKnownLevel >= second)
        return;
    Internal::beginGranting(state, second, now);
    Internal::recordStop(state, from, from, answer, now);
    Internal::advance(state, now, actions);
}

void receive(GranterState& state, const Agreement::VmStart& from, const StopResponse& answer,
    Utils::Instant now, Actions& actions)
{
    if (answer.queryId == 0) {
        receiveHandOver(state, from, answer, now, actions);
        return;
    }
    Internal::recordLevel(state, answer.highestKnownLevel, now, actions);
    const std::optional<PendingQuery> ask = takeAsk(state, answer.level, answer.queryId);
    if (!ask.has_value() || ask->peer.vm != from.vm)
        return;
    Internal::recordStop(state, ask->peer, from, answer, now);
    Internal::advance(state, now, actions);
}

} // namespace

std::vector<Action> onPeerMessage(
    GranterState& state, const Agreement::VmStart& from, const PeerMessage& message, Utils::Instant now)
{
    Actions actions;
    std::visit([&](const auto& received) { receive(state, from, received, now, actions); }, message);
    return actions;
}

} // namespace Ownership
