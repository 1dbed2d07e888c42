#pragma once

#include "method.h"

#include <placement/placementinput.h>
#include <placement/placementresult.h>

namespace MeasurePlacement {

/// Places the shards of \a input by \a method until nothing moves any more; the result of the last round.
Placement::PlacementResult placeBy(Method method, const Placement::PlacementInput& input);

} // namespace MeasurePlacement
