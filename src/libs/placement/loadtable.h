#pragma once

#include <placement/placementinput.h>

#include <map>
#include <set>
#include <vector>

namespace Placement::Internal {

/// Load and shards of the usable upstreams as a placement takes shape.
struct LoadTable {
    /// Load that each shard counts for.
    std::map<Utils::ShardId, double> weights;
    /// Slots of each usable upstream.
    std::map<Utils::UpstreamId, double> capacities;
    std::map<Utils::UpstreamId, double> loads;
    std::map<Utils::UpstreamId, std::set<Utils::ShardId>> owned;
};

/// A table without owners.
LoadTable makeLoadTable(const PlacementInput& input);

void addShard(LoadTable& table, const Utils::UpstreamId& upstream, const Utils::ShardId& shard);
void removeShard(LoadTable& table, const Utils::UpstreamId& upstream, const Utils::ShardId& shard);

/// Load over capacity of \a upstream if its load were \a extra higher.
double ratioOf(const LoadTable& table, const Utils::UpstreamId& upstream, double extra = 0);

/// All upstreams, the highest load over capacity first.
std::vector<Utils::UpstreamId> upstreamsByRatio(const LoadTable& table);

/// The upstream other than \a except that ends lowest when it takes \a extra more; empty if there is none.
Utils::UpstreamId lightestUpstream(const LoadTable& table, const Utils::UpstreamId& except, double extra);

/// Gives \a shards, the heaviest first, to whichever upstream ends lowest.
void addHeaviestFirst(LoadTable& table, const std::set<Utils::ShardId>& shards);

} // namespace Placement::Internal
