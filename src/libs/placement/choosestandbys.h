#pragma once

#include <placement/loadtable.h>
#include <placement/placementinput.h>
#include <placement/placementresult.h>

namespace Placement::Internal {

/// Fills in the standbys of \a result, whose owners are chosen. Present standbys stay where they can; the
/// shards of one owner spread over several standbys.
void chooseStandbys(PlacementResult& result, const LoadTable& table, const PlacementInput& input);

} // namespace Placement::Internal
