#pragma once

#include <edge/node.h>
#include <utils/time.h>

#include <memory>

/// Accounts for the memory of responses: those that are being received, and those that are being sent to
/// callers.
namespace Edge {

/// Records how much memory the response that \a connection receives uses now.
void recordReceivedBytes(Node& node, UpstreamConnection& connection);

/// Records that \a connection holds no part of a response any more.
void releaseReceivedBytes(Node& node, UpstreamConnection& connection);

/// If responses use more memory than is reserved for them, returns the connection that receives the largest
/// one, or null. An upstream may send bytes without end, and the largest response is most likely that one.
std::shared_ptr<UpstreamConnection> findExcessiveResponse(const Node& node);

/// If responses use more memory than is reserved for them, returns the caller that has not read its response
/// for longest, or null if none is that slow.
///
/// Load pattern: callers stop reading in the middle of large responses and keep their connections open, while
/// others are served.
std::shared_ptr<CallerConnection> findStalledCaller(const Node& node, Utils::Instant now);

/// Whether responses use more memory than is reserved for them.
bool isResponseMemoryExceeded(const Node& node);

} // namespace Edge
