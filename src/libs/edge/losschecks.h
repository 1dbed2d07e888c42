#pragma once

#include <edge/node.h>

/// Tells upstreams that crashed from links that failed; see Balancing::judgeLoss for the decision.
namespace Edge {

/// Checks whether the \a upstream crashed that was lost during \a attempt; calls concludeLoss() when done.
void startLossCheck(
    Node& node, const Utils::UpstreamId& upstream, const Balancing::AttemptObservation& attempt);

} // namespace Edge
