#pragma once

#include <granting/placementplan.h>

namespace Granting::Internal {

/// How long a busy span is expected to stay busy, as far as is known when it is noticed.
inline constexpr Utils::Duration expectedOverloadTime = std::chrono::seconds(2);
/// How long the requests for a key wait while it changes hands.
inline constexpr Utils::Duration expectedMoveTime = std::chrono::milliseconds(400);

/// Whether \a load exceeds \a target's capacity by so much that more requests are delayed until it falls than
/// by moving what exceeds \a keptLoad.
bool isWorthSpreading(double load, double keptLoad, const PlacementTarget& target);

/// Cuts the busiest spans of upstreams that are offered more than they can serve into pieces, and moves these
/// to the upstreams with the lowest utilisation.
///
/// Load pattern: 200 adjacent keys get four tenths of the requests of 150 upstreams, and five seconds later
/// 200 others. A piece a plan would relieve their holder when they are not busy any more. Receivers keep half
/// of the mean spare capacity, so that the next span finds room; a key that is too busy for one of them stays
/// unless another upstream is emptier than its holder.
///
/// Returns the requests per second that have moved.
double spreadOverload(PlacementPlan& plan);

} // namespace Granting::Internal
