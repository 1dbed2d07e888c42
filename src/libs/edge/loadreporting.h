#pragma once

#include <edge/node.h>

namespace Edge {

/// Tells the leader twice a second which keys callers asked for.
void startLoadReporting(Node& node);

} // namespace Edge
