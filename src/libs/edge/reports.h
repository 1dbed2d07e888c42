#pragma once

#include <edge/node.h>

namespace Edge {

/// Tells the leader twice a second which keys callers asked for.
void startReports(Node& node);

} // namespace Edge
