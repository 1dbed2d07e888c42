#pragma once

#include <balancing/attemptoutcome.h>
#include <edge/exchange.h>
#include <edge/node.h>

namespace Edge {

/// Sends the exchange's request to \a upstream, on an idle connection or a new one. handleAttemptOutcome() is
/// called once, never before this returns, unless abandonAttempt() comes first.
void startAttempt(Node& node, const std::shared_ptr<Exchange>& exchange,
    const Routing::UpstreamRecord& upstream, Utils::Duration timeout);

/// Ends what the exchange has under way by closing its connection, so that the upstream drops the work.
void abandonAttempt(Node& node, Exchange& exchange);

/// Closes the idle connections to \a upstream.
void closeIdleUpstreamConnections(Node& node, const Utils::UpstreamId& upstream);

} // namespace Edge
