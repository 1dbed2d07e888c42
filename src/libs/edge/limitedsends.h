#pragma once

#include <balancing/candidate.h>
#include <edge/exchange.h>
#include <edge/node.h>

#include <optional>
#include <vector>

/// Holds requests back that an upstream's limit, or its budget while it is cold, does not allow now; see
/// Balancing::RequestLimit for the decisions.
namespace Edge {

/// Whether the limits of \a upstream, if there are any, leave this VM a send at \a now.
bool hasSendNow(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now);

/// Returns after what time a request that \a upstream's limit turns away is worth sending again.
Utils::Duration limitRetryDelay(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now);

/// Removes upstreams whose limit leaves this VM no send now, except the only holder of a key, whose next send
/// may be worth waiting for. Returns the shortest time after which one of them is worth asking again.
std::optional<Utils::Duration> removeLimited(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now);

/// Reserves a send within the limit of \a upstream. Returns the time until then, or nothing if there is none
/// in time. \param expected latency of the request there
std::optional<Utils::Duration> reserveLimitedSend(Node& node, Exchange& exchange,
    const Utils::UpstreamId& upstream, Utils::Duration expected, Utils::Instant now);

} // namespace Edge
