#pragma once

#include <balancing/candidate.h>
#include <balancing/placement.h>
#include <balancing/placementrequest.h>

#include <optional>
#include <vector>

namespace Balancing {

/// Chooses the upstream with the lowest expected latency, including the network delay and the transfer cost
/// of the response; nothing if there are no candidates.
///
/// Load pattern: bursts that saturate the nearest upstreams while others have capacity, and upstreams that
/// are slow, cold, reject requests or stop responding. An upstream that is ejected or unresponsive is chosen
/// only if there is no other.
std::optional<Placement> chooseUpstream(
    const std::vector<Candidate>& candidates, const PlacementRequest& request, Utils::Instant now);

/// Whether the upstream of \a load has outstanding requests and has sent no response for much longer than a
/// request takes.
bool isUnresponsive(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now);

} // namespace Balancing
