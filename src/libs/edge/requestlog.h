#pragma once

#include <balancing/attemptoutcome.h>
#include <balancing/nextstep.h>
#include <edge/exchange.h>
#include <edge/node.h>

/// The lines from which on-call engineers follow a request from its id.
namespace Edge {

/// The request is sent to \a upstream, chosen with \a expected as its time to the answer.
void logRequestSent(
    const Node& node, const Exchange& exchange, const Utils::UpstreamId& upstream, Utils::Duration expected);

/// An attempt ended otherwise than by an answer.
void logAttemptOutcome(const Exchange& exchange, const Utils::UpstreamId& upstream,
    Balancing::AttemptOutcome end, Balancing::NextStep step);

/// The upstream's answer goes to the caller.
void logResponseDelivered(
    const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status, Utils::Instant now);

/// The caller gets an answer of this VM's own.
void logLocalResponse(const Exchange& exchange, const LocalResponse& answer, Utils::Instant now);

/// The caller left before its answer.
void logCallerDisconnected(const Exchange& exchange, Utils::Instant now);

} // namespace Edge
