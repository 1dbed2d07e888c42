#pragma once

#include <edge/node.h>

/// The ends of callers' connections: noticing that a caller has left, and closing without losing a response.
namespace Edge {

bool isOpen(const Node& node, const CallerConnection& caller);

/// Closes the connection. Requests in flight are not cancelled.
void closeCaller(Node& node, CallerConnection& caller);

/// Closes the connection of a caller that has left and cancels its requests.
void disconnectCaller(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Handles the end of the caller's input. A caller that has closed only its sending side still gets its
/// responses, one that has left is disconnected.
void handleEndOfInput(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Notices the end of the connection while no read is in progress.
void watchForDisconnect(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Closes the connection after its last response. Discards what the caller has sent meanwhile: closing with
/// unread bytes would reset the connection, and the caller could lose the response.
void closeAfterResponse(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Reads and discards what arrives on a connection that is being closed, until its end.
void discardInput(Node& node, const std::shared_ptr<CallerConnection>& caller);

} // namespace Edge
