#pragma once

#include <edge/node.h>

namespace Edge {

/// Starts reporting the requests by key to the leader, twice a second.
void startLoadReporting(Node& node);

} // namespace Edge
