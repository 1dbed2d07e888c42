#pragma once

#include <edge/node.h>

/// Frames on the links between the leader and the other VMs.
namespace Edge::Internal {

using LinkPtr = std::shared_ptr<RelayLink>;

bool isOpen(const Node& node, const RelayLink& link);

/// Queues \a frame; a link that does not take what it is sent is lost.
void sendFrame(Node& node, const LinkPtr& link, std::string frame);

/// Reads frames for as long as the link is open.
void readFrames(Node& node, const LinkPtr& link);

/// Closes the link; the store is read again if it was the one to the leader.
void closeLink(Node& node, const LinkPtr& link, const char* why);

} // namespace Edge::Internal
