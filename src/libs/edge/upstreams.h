#pragma once

#include <balancing/attemptoutcome.h>
#include <edge/exchange.h>
#include <edge/node.h>

namespace Edge {

/// Sends the request of \a exchange to \a upstream on an idle or a new connection. handleAttemptOutcome() is
/// called once, never before this function returns, unless abandonAttempt() is called first.
void startAttempt(Node& node, const std::shared_ptr<Exchange>& exchange,
    const Routing::UpstreamRecord& upstream, Utils::Duration timeout);

/// Aborts the attempt in flight by closing its connection, so that the upstream cancels the request.
void abandonAttempt(Node& node, Exchange& exchange);

/// Ends attempts that can go by way of another VM, after this one has lost its reach.
void endAttemptsAfterReachLoss(Node& node);

/// Closes the idle connections to \a upstream.
void closeIdleUpstreamConnections(Node& node, const Utils::UpstreamId& upstream);

} // namespace Edge
