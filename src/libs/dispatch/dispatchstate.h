#pragma once

#include <declarations/rank.h>
#include <dispatch/dispatchoptions.h>
#include <dispatch/poisontable.h>
#include <dispatch/requestmemory.h>
#include <dispatch/shardmove.h>
#include <dispatch/shardplace.h>
#include <dispatch/upstreamstate.h>
#include <dispatch/workentry.h>
#include <requests/retrystate.h>
#include <requests/work.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Dispatch {

/// Everything that the dispatcher of one pool decides by. Plain data, changed only by the functions of
/// dispatcher.h.
struct DispatchState {
    DispatchOptions options;
    /// Ranks, most urgent first.
    std::vector<Declarations::Rank> ranks;
    std::map<Utils::RankId, std::size_t> rankIndex;
    std::map<Utils::UpstreamId, UpstreamState> upstreams;
    std::map<Utils::ShardId, ShardPlace> shards;
    /// Shards without an owner until their former one has finished.
    std::map<Utils::ShardId, ShardMove> moves;
    std::unordered_map<Requests::WorkId, WorkEntry> works;
    /// When queued and waiting works are given up.
    std::set<std::pair<Utils::Instant, Requests::WorkId>> giveUps;
    /// Works in \c ShardPlace::waiting of all shards.
    std::size_t waitingForOwner = 0;
    RequestMemory memory;
    /// Request ids of shards not seen yet are remembered from here on; nothing: from when they are first
    /// seen.
    std::optional<Utils::Instant> rememberedSince;
    PoisonTable poison;
    /// Budget of second and further starts, by rank.
    Requests::RetryState restarts;
    bool draining = false;
    /// The latest time that the state was told.
    Utils::Instant now {};
};

} // namespace Dispatch
