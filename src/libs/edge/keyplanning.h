#pragma once

#include <edge/node.h>

/// The leader's looks at how keys are placed.
namespace Edge::Internal {

/// Plans and writes what should change, if a look is due at \a at.
void planKeyPlacements(Node& node, Utils::Instant at);

} // namespace Edge::Internal
