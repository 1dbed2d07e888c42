#pragma once

#include <balancing/candidate.h>
#include <edge/exchange.h>
#include <edge/node.h>

#include <optional>
#include <vector>

/// Holds requests back from upstreams whose queue is believed full; see balancing/fullqueue.h for the
/// decisions.
namespace Edge {

/// Removes upstreams whose queue is believed full. Returns the shortest time after which one of them has
/// room.
std::optional<Utils::Duration> removeFull(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now);

/// Records that the attempt on \a connection got no response. Returns whether its upstream is full rather
/// than failing.
bool recordLeftUnanswered(Node& node, const UpstreamConnection& connection);

} // namespace Edge
