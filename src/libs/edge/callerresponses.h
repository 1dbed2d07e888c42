#pragma once

#include <edge/node.h>

#include <string_view>

/// Responses to callers, in the order of their requests.
namespace Edge {

/// Queues \a response to the request of the exchange \a exchangeId on the connection \a caller, and writes
/// it once the responses ahead of it are written. Does nothing if the connection is closed.
void respondToCaller(Node& node, std::uint64_t caller, std::uint64_t exchangeId, HttpResponse response);

/// Queues \a response to bytes that are not a valid request; the connection is closed after it.
void respondToMalformedRequest(
    Node& node, const std::shared_ptr<CallerConnection>& caller, HttpResponse response);

/// Writes the next response if it is ready and none is being written.
void writeNextResponse(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Writes the interim response \a text, which has to stay valid. Returns false if something is being written.
bool writeInterimResponse(Node& node, const std::shared_ptr<CallerConnection>& caller, std::string_view text);

/// Whether the last request of \a caller need not wait for the ones ahead of it.
bool isNextDue(const CallerConnection& caller);

/// Starts the requests that waited for the completion of earlier ones on their connection.
void startDueRequests(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Disconnects callers that have not read their responses for long, while responses use too much memory.
void disconnectStalledCallers(Node& node);

} // namespace Edge
