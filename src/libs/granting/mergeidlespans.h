#pragma once

#include <granting/placementplan.h>

namespace Granting::Internal {

/// Moves short spans with hardly any requests to the holder of the span before them, if there are many
/// segments.
///
/// Load pattern: a busy span that was cut into pieces isn't busy any more, and the next one needs segments.
void mergeIdleSpans(PlacementPlan& plan);

} // namespace Granting::Internal
