#pragma once

#include <balancing/attemptend.h>
#include <balancing/nextstep.h>
#include <edge/exchange.h>
#include <edge/node.h>

/// The lines from which on-call engineers follow a request from its id.
namespace Edge {

/// The request is sent to \a upstream, chosen with \a expected as its time to the answer.
void logSent(
    const Node& node, const Exchange& exchange, const Utils::UpstreamId& upstream, Utils::Duration expected);

/// An attempt ended otherwise than by an answer.
void logAttemptEnd(const Exchange& exchange, const Utils::UpstreamId& upstream, Balancing::AttemptEnd end,
    Balancing::NextStep step);

/// The upstream's answer goes to the caller.
void logDelivered(
    const Exchange& exchange, const Utils::UpstreamId& upstream, unsigned status, Utils::Instant now);

/// The caller gets an answer of this VM's own.
void logOwnAnswer(const Exchange& exchange, const OwnAnswer& answer, Utils::Instant now);

/// The caller left before its answer.
void logCallerLeft(const Exchange& exchange, Utils::Instant now);

} // namespace Edge
