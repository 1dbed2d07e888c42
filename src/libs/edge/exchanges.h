#pragma once

#include <balancing/attemptoutcome.h>
#include <edge/exchange.h>
#include <edge/forwardingoutcome.h>
#include <edge/node.h>
#include <platform/serverheaders.h>

#include <optional>

/// Handling of a request from its arrival to its final response.
namespace Edge {

/// Creates the exchange for a complete request from \a caller, and starts it if it need not wait for requests
/// ahead of it. \param keepAlive whether the caller may send another request after it.
void beginExchange(Node& node, const std::shared_ptr<CallerConnection>& caller, Platform::HttpRequest request,
    bool keepAlive);

/// Starts the first attempt of an exchange that has waited for requests ahead of it.
void startExchange(Node& node, std::uint64_t exchangeId);

/// Handles the outcome of an attempt: delivers the response, retries or responds with an error.
/// \param response the response, if it was received completely.
void handleAttemptOutcome(Node& node, std::uint64_t exchangeId, Balancing::AttemptOutcome outcome,
    std::optional<HttpResponse> response);

/// Handles what became of a request at another VM: delivers the response, tries another VM or responds with
/// an error. \param response the other VM's response, if it is one for the caller.
void handleForwardingOutcome(
    Node& node, std::uint64_t exchangeId, ForwardingOutcome outcome, std::optional<HttpResponse> response);

/// Whether the request would be retried if its attempt, or its forwarding to another VM, ended as timed out
/// now. If not, its upstream may as well go on until the deadline.
bool isRetriedAfterTimeout(Node& node, std::uint64_t id);

/// Cancels an exchange whose caller has disconnected, with any attempt in flight.
void cancelExchange(Node& node, std::uint64_t exchangeId);

/// Ends all exchanges with responses of this VM, because its process is about to end.
void abortExchanges(Node& node);

/// Retries exchanges that wait for a holder, after the assignments or the directory have changed.
void resumeWaitingExchanges(Node& node);

} // namespace Edge
