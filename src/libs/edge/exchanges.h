#pragma once

#include <balancing/attemptend.h>
#include <edge/exchange.h>
#include <edge/node.h>
#include <platform/servertold.h>

#include <optional>

/// The way of a request from its arrival to its final answer.
namespace Edge {

/// Takes a whole request from \a caller.
void beginExchange(Node& node, CallerConnection& caller, Platform::HttpRequest request);

/// Takes the end of an attempt; \a response is there if a whole answer came.
void onAttemptEnd(
    Node& node, std::uint64_t exchange, Balancing::AttemptEnd end, std::optional<HttpResponse> response);

/// The caller has left: its work is ended.
void cancelExchange(Node& node, std::uint64_t exchange);

/// Tries again what waits for a holder, after the assignments or the directory have changed.
void resumeParked(Node& node);

} // namespace Edge
