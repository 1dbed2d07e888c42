#pragma once

#include <edge/node.h>

namespace Edge {

/// Reads the next request of \a caller.
void readRequest(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Registers a newly accepted connection and reads its first request.
void acceptCaller(Node& node, Tcp::socket socket, bool isPeer = false);

/// Writes \a response to the connection \a caller, then reads its next request or closes it.
void respondToCaller(Node& node, std::uint64_t caller, HttpResponse response);

/// Closes all caller connections on which no request is in flight or partly received.
void closeIdleCallers(Node& node);

} // namespace Edge
