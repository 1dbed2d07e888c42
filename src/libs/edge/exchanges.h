#pragma once

#include <balancing/attemptoutcome.h>
#include <edge/exchange.h>
#include <edge/forwardingoutcome.h>
#include <edge/node.h>
#include <platform/serverheaders.h>

#include <optional>

/// Handling of a request from its arrival to its final response.
namespace Edge {

/// Starts the exchange for a complete request from \a caller.
void beginExchange(Node& node, CallerConnection& caller, Platform::HttpRequest request);

/// Handles the outcome of an attempt: delivers the response, retries or responds with an error.
/// \param response the response, if it was received completely.
void handleAttemptOutcome(Node& node, std::uint64_t exchangeId, Balancing::AttemptOutcome outcome,
    std::optional<HttpResponse> response);

/// Handles what became of a request at another VM: delivers the response, tries another VM or responds with
/// an error. \param response the other VM's response, if it is one for the caller.
void handleForwardingOutcome(
    Node& node, std::uint64_t exchangeId, ForwardingOutcome outcome, std::optional<HttpResponse> response);

/// Whether the request would be retried if its attempt ended as timed out now. If not, its upstream may as
/// well go on until the deadline.
bool isRetriedAfterTimeout(Node& node, std::uint64_t id);

/// Cancels an exchange whose caller has disconnected, with any attempt in flight.
void cancelExchange(Node& node, std::uint64_t exchangeId);

/// Retries exchanges that wait for a holder, after the assignments or the directory have changed.
void resumeWaitingExchanges(Node& node);

} // namespace Edge
