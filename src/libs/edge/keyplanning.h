#pragma once

#include <edge/node.h>

/// Planning of the placement of keys by the leader.
namespace Edge::Internal {

/// Plans the placement of the keys of all services and writes changed assignments, if that is due at \a at.
void planKeyPlacements(Node& node, Utils::Instant at);

} // namespace Edge::Internal
