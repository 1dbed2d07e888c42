#include <ownership/holder.h>

#include <algorithm>

namespace Ownership {

namespace Internal {

HolderResponse makeResponse(const HolderState& state, HolderVerdict verdict, std::int64_t clock)
{
    HolderResponse response;
    response.verdict = verdict;
    response.incarnation = state.incarnation;
    response.clock = clock;
    response.level = state.fenceLevel;
    response.heldUntil = state.heldUntil;
    response.shards = state.shards;
    return response;
}

HolderVerdict validateGrant(const HolderState& state, const GrantRequest& request, std::int64_t clock)
{
    if (request.incarnation != state.incarnation)
        return HolderVerdict::WrongIncarnation;
    if (request.level < state.fenceLevel)
        return HolderVerdict::StaleLevel;
    if (request.level == state.grantedLevel && request.sequence <= state.sequence)
        return HolderVerdict::StaleSequence;
    if (request.expiresAt <= clock)
        return HolderVerdict::AlreadyExpired;
    return HolderVerdict::Accepted;
}

} // namespace Internal

HolderResponse applyGrant(HolderState& state, const GrantRequest& request, std::int64_t clock)
{
    const HolderVerdict verdict = Internal::validateGrant(state, request, clock);
    if (verdict != HolderVerdict::Accepted)
        return Internal::makeResponse(state, verdict, clock);
    state.fenceLevel = request.level;
    state.grantedLevel = request.level;
    state.sequence = request.sequence;
    state.heldUntil = request.expiresAt;
    state.shards = request.shards;
    return Internal::makeResponse(state, verdict, clock);
}

HolderResponse applyFence(HolderState& state, const FenceRequest& request, std::int64_t clock)
{
    if (request.incarnation != 0 && request.incarnation != state.incarnation)
        return Internal::makeResponse(state, HolderVerdict::WrongIncarnation, clock);
    if (request.level < state.fenceLevel)
        return Internal::makeResponse(state, HolderVerdict::StaleLevel, clock);
    state.fenceLevel = request.level;
    return Internal::makeResponse(state, HolderVerdict::Accepted, clock);
}

HolderVerdict checkRequest(
    const HolderState& state, const Utils::ShardId& shard, GrantLevel level, std::int64_t clock)
{
    if (level < state.fenceLevel)
        return HolderVerdict::StaleLevel;
    if (clock >= state.heldUntil)
        return HolderVerdict::AlreadyExpired;
    if (!state.shards.contains(shard))
        return HolderVerdict::NotHeld;
    return HolderVerdict::Accepted;
}

} // namespace Ownership
