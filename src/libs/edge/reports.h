#pragma once

#include <edge/node.h>

namespace Edge {

/// Tells the leader once a second which keys callers asked for, and takes such reports while this VM leads.
void startReports(Node& node);

} // namespace Edge
