#pragma once

#include <agreement/logstate.h>

#include <set>

/// Which key ranges assignments still name. A shard whose keys may still be served under another assignment,
/// or under the name of another range, is not given out until that is settled.
namespace Agreement {

/// The range that \a shard belongs to.
Utils::KeyRangeId rangeOfShard(const Utils::ShardId& shard);

/// Every shard that \a configuration gives to \a pool.
std::set<Utils::ShardId> shardsOfPool(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool);

/// The shards that the next assignment of \a pool has to name: the declared ones but for those whose keys
/// another pool, or another range in this pool, may still serve.
std::set<Utils::ShardId> assignableShards(const LogState& state, const Utils::PoolId& pool);

/// Whether \a next gives other keys to a range that is still in use.
bool redefinesRangeInUse(const LogState& state, const Declarations::Configuration& next);

/// The definitions to keep once \a next is in force: of ranges that it no longer has but that are in use.
std::map<Utils::KeyRangeId, Declarations::KeyRange> retiredRangesUnder(
    const LogState& state, const Declarations::Configuration& next);

} // namespace Agreement
