#pragma once

#include <placement/loadtable.h>
#include <placement/placementinput.h>

#include <cstddef>

namespace Placement::Internal {

/// Moves shards between upstreams until the loads are good enough, no move helps or the budget is spent;
/// gives the number of moves. Each move lowers the higher load of its two upstreams, so rounds of it come to
/// an end.
std::size_t balanceLoad(LoadTable& table, const PlacementInput& input);

} // namespace Placement::Internal
