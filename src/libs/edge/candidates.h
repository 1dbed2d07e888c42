#pragma once

#include <balancing/candidate.h>
#include <edge/exchange.h>
#include <edge/node.h>

#include <vector>

namespace Edge {

/// Network distance of the availability zone \a zone from this VM.
Balancing::Distance distanceTo(const Node& node, const Utils::ZoneId& zone);

/// Finds the upstreams that the next attempt of \a exchange may be sent to: the holder of its key, or, for a
/// service without keys, all usable upstreams that have not been tried.
std::vector<Balancing::Candidate> findCandidates(Node& node, const Exchange& exchange, Utils::Instant now);

/// Finds the holder of the key of \a exchange. Returns null if requests for its keys may not be sent to it.
const Routing::DirectoryEntry* findServingHolder(
    const Node& node, const Exchange& exchange, Utils::Instant now);

/// Whether the service of \a exchange is keyed and its key has no confirmed holder that can serve requests.
bool isHolderMissing(const Node& node, const Exchange& exchange, Utils::Instant now);

} // namespace Edge
