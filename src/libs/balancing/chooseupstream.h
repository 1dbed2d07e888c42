#pragma once

#include <balancing/candidate.h>
#include <balancing/placement.h>
#include <balancing/placementrequest.h>

#include <optional>
#include <vector>

namespace Balancing {

/// Chooses the upstream with the least expected latency, the way there counted by delay and by the price of
/// bytes.
///
/// Load pattern: bursts that fill the nearest upstreams while others have room, and upstreams that are slow,
/// cold, refuse or fail silently. An upstream that is being avoided, or has been silent for much longer than
/// a request takes, is chosen only when there is no other.
std::optional<Placement> chooseUpstream(
    const std::vector<Candidate>& candidates, const PlacementRequest& request, Utils::Instant now);

/// Whether \a load has left requests without any answer for much longer than one takes.
bool isUnresponsive(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now);

} // namespace Balancing
