#pragma once

#include <placement/placementinput.h>
#include <placement/placementresult.h>

/// Where shards, and the duty to dispatch, go. All functions are pure and give the same answer on every VM.
namespace Placement {

/// Chooses owner and standby of every shard. Owners that can stay do, but for as many balancing moves as the
/// budget allows: first the lowest load over capacity of the worst upstream, then of the next, then the
/// fewest moves that come within the slack of these. A standby is in another availability zone than its owner
/// where there is one.
PlacementResult placeShards(const PlacementInput& input);

} // namespace Placement
