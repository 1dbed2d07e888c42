#include <ownership/attestation.h>
#include <ownership/granter.h>
#include <ownership/granterrules.h>
#include <ownership/granterrun.h>

#include <algorithm>

namespace Ownership {

namespace {

using Actions = std::vector<Action>;

void receive(GranterState& state, const Agreement::VmStart& from, const AttestRequest& request,
    Utils::Instant now, Actions& actions)
{
    Internal::noteLevel(state, request.level, now, actions);
    const bool attested = Internal::attestsTo(state, from, request.level);
    if (attested && request.level.epoch == 1)
        state.dispatcherHeardAt = now;
    const GrantLevel highest = attested ? request.level : state.highest;
    const AttestAnswer answer { request.pool, request.level, request.ask, highest, attested };
    actions.push_back(SendPeer { from, answer });
}

void receive(GranterState& state, const Agreement::VmStart& from, const StopRequest& request,
    Utils::Instant now, Actions& actions)
{
    Internal::noteLevel(state, request.level, now, actions);
    const StopAnswer answer { request.pool, request.level, request.ask, state.highest,
        Internal::remainingGrants(state, now) };
    actions.push_back(SendPeer { from, answer });
}

/// The ask that an answer at \a level belongs to, if this granter still waits for it; it is then taken.
std::optional<Ask> takeAsk(GranterState& state, const GrantLevel& level, std::uint64_t askId)
{
    const std::map<std::uint64_t, Ask>::const_iterator found = state.asks.find(askId);
    if (state.role != GranterRole::Granting || level != state.level || found == state.asks.end())
        return std::nullopt;
    const Ask ask = found->second;
    state.asks.erase(found);
    return ask;
}

void receive(GranterState& state, const Agreement::VmStart& from, const AttestAnswer& answer,
    Utils::Instant now, Actions& actions)
{
    Internal::noteLevel(state, answer.highest, now, actions);
    const std::optional<Ask> ask = takeAsk(state, answer.level, answer.ask);
    if (!ask.has_value() || !answer.attested || !Internal::isStart(state, ask->peer, from))
        return;
    const Utils::Instant proof = Internal::waived(state, Guard::ProofFromAsk) ? now : ask->askedAt;
    PeerView& view = state.peers[ask->peer];
    view.proofAskedAt = std::max(view.proofAskedAt, std::optional<Utils::Instant>(proof));
    Internal::advance(state, now, actions);
}

/// The dispatcher stops of its own accord: the successor begins at once.
void receiveHandOver(GranterState& state, const Agreement::VmStart& from, const StopAnswer& answer,
    Utils::Instant now, Actions& actions)
{
    const GrantLevel second { state.assignment.token, 2 };
    if (state.role != GranterRole::Standby || answer.level != second
        || !Internal::isStart(state, state.assignment.dispatcher, from) || state.highest >= second)
        return;
    Internal::beginGranting(state, second, now);
    Internal::recordStop(state, from, from, answer, now);
    Internal::advance(state, now, actions);
}

void receive(GranterState& state, const Agreement::VmStart& from, const StopAnswer& answer,
    Utils::Instant now, Actions& actions)
{
    if (answer.ask == 0) {
        receiveHandOver(state, from, answer, now, actions);
        return;
    }
    Internal::noteLevel(state, answer.highest, now, actions);
    const std::optional<Ask> ask = takeAsk(state, answer.level, answer.ask);
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
