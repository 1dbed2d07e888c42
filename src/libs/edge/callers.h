#pragma once

#include <edge/node.h>

/// Reading of requests from callers' connections.
namespace Edge {

/// Reads the next request of \a caller unless a read is in progress or it must wait for earlier requests.
void readRequest(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Reads the body of \a caller's request, for which memory is reserved.
void readAdmittedBody(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Tells a caller that waits for it to send the body of its request, once all earlier requests are answered.
void sendContinueIfDue(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Registers a newly accepted connection and reads its first request.
void acceptCaller(Node& node, Tcp::socket socket, bool isPeer = false);

/// Whether a request is being received, or bytes of one wait to be read.
bool hasBegunRequest(CallerConnection& caller);

/// Closes all caller connections on which no request is in flight or has begun to arrive.
void closeIdleCallers(Node& node);

} // namespace Edge
