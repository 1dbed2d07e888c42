#include <ownership/attestation.h>
#include <ownership/granter.h>
#include <ownership/granterrules.h>
#include <ownership/granterlifecycle.h>

#include <algorithm>

namespace Ownership {

namespace {

using Actions = std::vector<Action>;

void handle(GranterState& state, const Agreement::VmStart& from, const AttestRequest& request,
    Utils::Instant now, Actions& actions)
{
    Internal::recordLevel(state, request.level, now, actions);
    const bool attests = Internal::canAttestTo(state, from, request.level);
    if (attests && request.level.epoch == 1)
        state.lastDispatcherContactAt = now;
    const GrantLevel highest = attests ? request.level : state.highestKnownLevel;
    const AttestResponse response { request.pool, request.level, request.queryId, highest, attests };
    actions.push_back(SendPeerMessage { from, response });
}

void handle(GranterState& state, const Agreement::VmStart& from, const StopRequest& request,
    Utils::Instant now, Actions& actions)
{
    Internal::recordLevel(state, request.level, now, actions);
    const StopResponse response { request.pool, request.level, request.queryId, state.highestKnownLevel,
        Internal::computeRemainingGrantTimes(state, now) };
    actions.push_back(SendPeerMessage { from, response });
}

/// Removes and returns the pending query that a response at \a level belongs to; nullopt if there is none.
std::optional<PendingQuery> takePendingQuery(
    GranterState& state, const GrantLevel& level, std::uint64_t queryId)
{
    const std::map<std::uint64_t, PendingQuery>::const_iterator found = state.pendingQueries.find(queryId);
    if (state.role != GranterRole::Granting || level != state.level || found == state.pendingQueries.end())
        return std::nullopt;
    const PendingQuery query = found->second;
    state.pendingQueries.erase(found);
    return query;
}

void handle(GranterState& state, const Agreement::VmStart& from, const AttestResponse& response,
    Utils::Instant now, Actions& actions)
{
    Internal::recordLevel(state, response.highestKnownLevel, now, actions);
    const std::optional<PendingQuery> query = takePendingQuery(state, response.level, response.queryId);
    if (!query.has_value() || !response.isAttested || !Internal::isNamedStart(state, query->peer, from))
        return;
    const Utils::Instant attestedAt = Internal::isWaived(state, Guard::ProofFromAsk) ? now : query->sentAt;
    PeerView& view = state.peers[query->peer];
    view.lastAttestedQueryAt = std::max(view.lastAttestedQueryAt, std::optional<Utils::Instant>(attestedAt));
    Internal::advance(state, now, actions);
}

/// Handles a planned stop of the dispatcher: the successor starts granting at once.
void handleHandover(GranterState& state, const Agreement::VmStart& from, const StopResponse& response,
    Utils::Instant now, Actions& actions)
{
    const GrantLevel second { state.assignment.token, 2 };
    if (state.role != GranterRole::Standby || response.level != second
        || !Internal::isNamedStart(state, state.assignment.dispatcher, from)
        || state.highestKnownLevel >= second)
        return;
    Internal::beginGranting(state, second, now);
    Internal::recordStop(state, from, from, response, now);
    Internal::advance(state, now, actions);
}

void handle(GranterState& state, const Agreement::VmStart& from, const StopResponse& response,
    Utils::Instant now, Actions& actions)
{
    if (response.queryId == 0) {
        handleHandover(state, from, response, now, actions);
        return;
    }
    Internal::recordLevel(state, response.highestKnownLevel, now, actions);
    const std::optional<PendingQuery> query = takePendingQuery(state, response.level, response.queryId);
    if (!query.has_value() || query->peer.vm != from.vm)
        return;
    Internal::recordStop(state, query->peer, from, response, now);
    Internal::advance(state, now, actions);
}

} // namespace

std::vector<Action> onPeerMessage(
    GranterState& state, const Agreement::VmStart& from, const PeerMessage& message, Utils::Instant now)
{
    Actions actions;
    std::visit([&](const auto& received) { handle(state, from, received, now, actions); }, message);
    return actions;
}

} // namespace Ownership
