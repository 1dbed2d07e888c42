#pragma once

#include <edge/node.h>

namespace Edge {

/// Reads the next request of \a caller.
void readRequest(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Takes a new connection.
void acceptCaller(Node& node, Tcp::socket socket);

/// Writes \a response and then reads the next request, or closes.
void respondToCaller(Node& node, std::uint64_t caller, HttpResponse response);

/// Closes all connections on which no request has begun to arrive.
void closeIdleCallers(Node& node);

} // namespace Edge
