#pragma once

#include <edge/node.h>

#include <string>
#include <vector>

/// Which VMs there are. The leader names its subscribers to all of them, so that VMs reach one another when
/// the leader and the store can't be reached.
namespace Edge {

/// Records the addresses that the leader named.
void recordMembers(Node& node, const std::vector<std::string>& addresses);

/// On the leader: records the subscribers and this VM as members and returns the addresses of all members.
std::vector<std::string> collectMembers(Node& node);

} // namespace Edge
