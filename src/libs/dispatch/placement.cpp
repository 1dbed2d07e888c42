#include <dispatch/dispatcher.h>

#include <dispatch/capacity.h>
#include <dispatch/dispatchconstants.h>
#include <dispatch/moves.h>
#include <dispatch/queueing.h>
#include <dispatch/scheduling.h>

#include <algorithm>

namespace Dispatch {

namespace {

using Requests::WorkId;

/// The shard's record; a shard seen for the first time is remembered from now on.
ShardPlace& placeOf(DispatchState& state, const Utils::ShardId& shard, Utils::Instant now)
{
    const std::map<Utils::ShardId, ShardPlace>::iterator found = state.shards.find(shard);
    if (found != state.shards.end())
        return found->second;
    ShardPlace& place = state.shards[shard];
    place.unownedSince = now;
    place.rememberedSince = state.rememberedSince.value_or(now);
    return place;
}

/// Takes the shard's works out of where they wait, in the order of their submission.
std::vector<WorkId> takeWaiting(DispatchState& state, const Utils::ShardId& shard)
{
    std::vector<WorkId> taken = Internal::waitingWorks(state);
    std::erase_if(taken, [&state, &shard](WorkId id) { return state.works.at(id).work.shard != shard; });
    for (const WorkId id : taken)
        Internal::dequeue(state, state.works.at(id));
    return taken;
}

void pauseOnReport(UpstreamState& upstream, Utils::Duration backoff, Utils::Instant now)
{
    const Utils::Duration pause = std::max(backoff, firstUpstreamBackoff);
    upstream.pausedUntil = std::max(upstream.pausedUntil, now + pause);
    upstream.warmupsLeft = std::max(upstream.warmupsLeft, 1U);
}

bool wasCut(UpstreamCondition condition)
{
    return condition == UpstreamCondition::Unreachable || condition == UpstreamCondition::Draining;
}

void applyCondition(
    UpstreamState& upstream, UpstreamCondition condition, Utils::Duration backoff, Utils::Instant now)
{
    if (wasCut(upstream.condition) && !wasCut(condition)) {
        upstream.pausedUntil = now;
        upstream.refusals = 0;
    }
    if (condition == UpstreamCondition::Shedding)
        pauseOnReport(upstream, backoff, now);
    if (condition == UpstreamCondition::Cold)
        upstream.warmupsLeft = coldCompletions;
    if (upstream.condition != condition)
        upstream.conditionSince = now;
    upstream.condition = condition;
}

} // namespace

namespace Internal {

void putShard(DispatchState& state, const Utils::ShardId& shard,
    const std::optional<Utils::UpstreamId>& upstream, Utils::Instant now, std::vector<Action>& actions)
{
    ShardPlace& place = placeOf(state, shard, now);
    if (place.upstream == upstream)
        return;
    const std::vector<WorkId> moved = takeWaiting(state, shard);
    if (!upstream.has_value())
        place.unownedSince = now;
    place.upstream = upstream;
    for (const WorkId id : moved)
        enqueue(state, state.works.at(id), false, now, actions);
}

} // namespace Internal

std::vector<Action> placeShard(DispatchState& state, const Utils::ShardId& shard,
    const std::optional<Utils::UpstreamId>& upstream, Utils::Instant now)
{
    std::vector<Action> actions;
    state.now = now;
    if (upstream.has_value() && Internal::runsElsewhere(state, shard, *upstream)) {
        state.moves.try_emplace(shard, ShardMove { *upstream, now + state.options.caps.moveWait })
            .first->second.upstream
            = *upstream;
        Internal::putShard(state, shard, std::nullopt, now, actions);
    } else {
        state.moves.erase(shard);
        Internal::putShard(state, shard, upstream, now, actions);
    }
    Internal::giveUpDue(state, now, actions);
    Internal::scheduleAll(state, now, actions);
    return actions;
}

std::vector<Action> setUpstreamCondition(DispatchState& state, const Utils::UpstreamId& upstream,
    UpstreamCondition condition, Utils::Instant now, Utils::Duration backoff)
{
    std::vector<Action> actions;
    state.now = now;
    const std::map<Utils::UpstreamId, UpstreamState>::iterator found = state.upstreams.find(upstream);
    if (found == state.upstreams.end())
        return actions;
    const bool isOutdated
        = condition == UpstreamCondition::Shedding && now < found->second.completedAt + reportLag;
    if (isOutdated)
        return actions;
    applyCondition(found->second, condition, backoff, now);
    Internal::setGiveUps(state, found->second, now);
    Internal::giveUpDue(state, now, actions);
    Internal::schedule(state, found->second, now, actions);
    return actions;
}

void takeOver(DispatchState& state, Utils::Instant now)
{
    state.now = now;
    for (std::pair<const Utils::ShardId, ShardPlace>& shard : state.shards)
        shard.second.rememberedSince = now;
}

void rememberFromStart(DispatchState& state)
{
    state.rememberedSince = Utils::Instant::min();
    for (std::pair<const Utils::ShardId, ShardPlace>& shard : state.shards)
        shard.second.rememberedSince = Utils::Instant::min();
}

} // namespace Dispatch
