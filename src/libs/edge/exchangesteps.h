#pragma once

#include <edge/exchange.h>
#include <edge/localresponsereason.h>
#include <edge/node.h>

/// Steps of an exchange that its arrival and its attempts share.
namespace Edge::Internal {

/// Retry-After value for conditions that are expected to be short.
inline constexpr Utils::Duration defaultRetryAfter = std::chrono::milliseconds(300);

/// Ends the exchange, with any attempt in flight, and responds for \a reason.
void respondLocally(Node& node, const std::shared_ptr<Exchange>& exchange, LocalResponseReason reason,
    Utils::Duration retryAfter);

/// Ends the exchange at its deadline.
void armDeadline(Node& node, const std::shared_ptr<Exchange>& exchange);

/// Sends the request to an upstream or another VM, lets it wait, or ends the exchange.
void startNextAttempt(Node& node, const std::shared_ptr<Exchange>& exchange);

Balancing::RetryAllowance retryAllowanceFor(const Node& node);

} // namespace Edge::Internal
