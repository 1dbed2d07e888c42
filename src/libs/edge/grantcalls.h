#pragma once

#include <edge/node.h>

/// The leader's calls to upstreams.
namespace Edge::Internal {

/// Grants, renews and releases what is due at \a at.
void sendDueGrants(Node& node, Utils::Instant at);

} // namespace Edge::Internal
