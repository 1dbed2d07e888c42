#pragma once

#include <edge/node.h>

/// How old the records of a VM may become.
namespace Edge {

/// Time within which a change has to reach all VMs.
Utils::Duration changeTimeout(const Node& node);

} // namespace Edge
