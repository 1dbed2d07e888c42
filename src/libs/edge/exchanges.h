#pragma once

#include <balancing/attemptoutcome.h>
#include <edge/exchange.h>
#include <edge/node.h>
#include <platform/serverheaders.h>

#include <optional>

/// The way of a request from its arrival to its final answer.
namespace Edge {

/// Takes a whole request from \a caller.
void beginExchange(Node& node, CallerConnection& caller, Platform::HttpRequest request);

/// Takes the end of an attempt; \a response is there if a whole answer came.
void handleAttemptOutcome(
    Node& node, std::uint64_t exchange, Balancing::AttemptOutcome end, std::optional<HttpResponse> response);

/// The caller has left: its work is ended.
void cancelExchange(Node& node, std::uint64_t exchange);

/// Tries again what waits for a holder, after the assignments or the directory have changed.
void resumeWaitingExchanges(Node& node);

} // namespace Edge
