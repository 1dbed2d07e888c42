#pragma once

#include <edge/node.h>

/// Grant and release calls of the leader to upstreams.
namespace Edge::Internal {

/// Sends the grants, renewals and releases that are due at \a at.
void sendDueGrants(Node& node, Utils::Instant at);

} // namespace Edge::Internal
