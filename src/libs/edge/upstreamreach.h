#pragma once

#include <edge/node.h>

/// Watches whether this VM reaches upstreams at all; see Balancing::UpstreamReach for the decisions.
namespace Edge {

/// Records that a connection to an upstream was established.
void recordUpstreamConnected(Node& node);

/// Records that an attempt at \a upstream, begun at \a startedAt, found no connection, lost it or was left
/// without a response.
void recordUpstreamLinkFailure(Node& node, const Utils::UpstreamId& upstream, Utils::Instant startedAt);

/// Whether this VM is certain that it reaches no upstream.
bool isReachLost(const Node& node);

/// Whether this VM has lately connected to an upstream, or knows of none. If not, begins to find out.
bool confirmReach(Node& node);

/// Where this VM connects to for an upstream that listens on \a endpoint.
Routing::Endpoint upstreamEndpoint(const Node& node, const Routing::Endpoint& endpoint);

} // namespace Edge
