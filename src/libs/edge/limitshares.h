#pragma once

#include <edge/node.h>

namespace Edge {

/// Computes this VM's share of \a limit of \a upstream again.
void updateShare(
    const Node& node, const Utils::UpstreamId& upstream, Balancing::RequestLimit& limit, Utils::Instant at);

/// The same if the share is out of date.
void refreshShare(
    const Node& node, const Utils::UpstreamId& upstream, Balancing::RequestLimit& limit, Utils::Instant at);

/// Part of its interval, 0 to 1, for which this VM waits before its first send.
double sharePhase(const Node& node, const Utils::UpstreamId& upstream);

} // namespace Edge
