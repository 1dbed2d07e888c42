#pragma once

#include <granting/keyload.h>
#include <granting/keyplacement.h>
#include <granting/placementtarget.h>

#include <map>
#include <vector>

namespace Granting::Internal {

/// Requests per second below which a move isn't worthwhile.
inline constexpr double minMovedLoad = 0.2;

/// A placement of the keys while it is being planned.
struct PlacementPlan {
    std::vector<KeyPlacement> placements;
    /// Prefix sums: the load of all keys before the one at this position.
    std::vector<double> loadBefore;
    std::vector<PlacementTarget> targets;
    std::map<Utils::UpstreamId, double> loads;
    double total = 0;
    double totalCapacity = 0;
};

/// Returns a plan without changes.
PlacementPlan startPlan(const std::vector<KeyPlacement>& current, const std::vector<PlacementTarget>& targets,
    const KeyLoad& load);

/// Adds up the loads of the upstreams from the placements.
void computeTargetLoads(PlacementPlan& plan);

double computeLoad(const PlacementPlan& plan, const Routing::KeySpan& span);

double computeUtilisation(const PlacementPlan& plan, const PlacementTarget& target);

/// Returns the last key of the longest span that starts with \a span, lies within it and has at most \a load,
/// but at least one key.
std::uint16_t lastKeyWithin(const PlacementPlan& plan, const Routing::KeySpan& span, double load);

/// Returns the first key of the longest span that ends with \a span, lies within it and has at most \a load,
/// but at least one key.
std::uint16_t firstKeyWithin(const PlacementPlan& plan, const Routing::KeySpan& span, double load);

/// Returns the positions of the donor's spans in descending order of load.
std::vector<std::size_t> findSpansByLoad(const PlacementPlan& plan, const Utils::UpstreamId& donor);

} // namespace Granting::Internal
