#pragma once

#include <balancing/attemptoutcome.h>
#include <balancing/candidate.h>
#include <edge/exchange.h>
#include <edge/node.h>
#include <routing/reportedload.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Requests that wait on this VM until the upstreams of their service have room.
namespace Edge {

/// Takes a place at the upstreams for an attempt. Returns false if the request now waits for one, or has been
/// rejected; it is started again when it gets a place.
bool takePlace(Node& node, const std::shared_ptr<Exchange>& exchange,
    const std::vector<Balancing::Candidate>& candidates, Utils::Instant now);

/// Whether the request has waited, or would have, for a place; its admission has been decided then.
bool isQueueInUse(const Node& node, const Exchange& exchange);

/// Puts a request whose upstreams turned out to be full in front of its rank again. It is started after a
/// short time.
void returnToQueue(Node& node, const std::shared_ptr<Exchange>& exchange);

/// Gives up the place of an exchange whose attempt has ended.
void releasePlace(Node& node, Exchange& exchange);

/// Takes an exchange that ends out of the queue, and gives up its place.
void leaveQueue(Node& node, Exchange& exchange);

/// Adjusts the limit to the outcome of an attempt. \param latency time since it was sent.
void recordOutcomeForLimit(Node& node, std::uint64_t exchangeId, Balancing::AttemptOutcome outcome,
    const std::optional<Routing::ReportedLoad>& load, Utils::Duration latency);

/// Adjusts the limit to an attempt that brought no response until the deadline.
void recordMissingResponse(Node& node, const Exchange& exchange);

/// Starts what may be sent by now, after a change of the directory or the configuration.
void startWaitingRequests(Node& node);

/// Takes all requests out of the queues and decides on them anew, after this VM has lost its reach or has
/// begun to close.
void reconsiderWaitingRequests(Node& node);

/// Appends the gauges of queues and limits to the text of the metrics.
void writeQueueGauges(std::string& text, const Node& node);

} // namespace Edge
