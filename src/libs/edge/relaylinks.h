#pragma once

#include <edge/node.h>

#include <string_view>

/// Sending and receiving of frames on relay links.
namespace Edge::Internal {

using LinkPtr = std::shared_ptr<RelayLink>;

/// Reason for closing the link to a source that sends nothing.
inline constexpr std::string_view silentReason = "silent";

/// Whether \a link has not been closed by closeLink().
bool isOpen(const Node& node, const RelayLink& link);

/// Queues \a frame to be written. Closes the link if its send queue is full.
void sendFrame(Node& node, const LinkPtr& link, RelayFrame frame);
void sendFrame(Node& node, const LinkPtr& link, std::string frame);

/// Reads and handles frames as long as the link is open.
void readFrames(Node& node, const LinkPtr& link);

/// Closes the link. If it was the link to the source, another source is looked for or the store is read.
/// \a reason is logged.
void closeLink(Node& node, const LinkPtr& link, std::string_view reason);

} // namespace Edge::Internal
