#pragma once

#include <edge/node.h>

/// Sending and receiving of frames on relay links.
namespace Edge::Internal {

using LinkPtr = std::shared_ptr<RelayLink>;

/// Whether \a link has not been closed by closeLink().
bool isOpen(const Node& node, const RelayLink& link);

/// Queues \a frame to be written. Closes the link if its send queue is full.
void sendFrame(Node& node, const LinkPtr& link, std::string frame);

/// Reads and handles frames as long as the link is open.
void readFrames(Node& node, const LinkPtr& link);

/// Closes the link. If it was the link to the source, another source is looked for or the store is read.
/// \a reason is logged.
void closeLink(Node& node, const LinkPtr& link, const char* reason);

} // namespace Edge::Internal
