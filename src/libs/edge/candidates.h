#pragma once

#include <balancing/candidate.h>
#include <edge/exchange.h>
#include <edge/node.h>

#include <vector>

namespace Edge {

/// The upstreams that the next try of \a exchange may go to: the holder of its key, or all of its service
/// that take work and have not had it yet.
std::vector<Balancing::Candidate> findCandidates(Node& node, const Exchange& exchange, Utils::Instant now);

/// Whether the service of \a exchange needs a key's holder and there is none to send to now.
bool isHolderMissing(const Node& node, const Exchange& exchange, Utils::Instant now);

} // namespace Edge
