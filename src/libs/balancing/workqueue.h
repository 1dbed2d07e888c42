#pragma once

#include <balancing/queuerejection.h>
#include <balancing/waitingrequest.h>

#include <optional>
#include <vector>

/// The order of requests that wait on one VM for room at the upstreams of a service.
///
/// Load pattern: a burst exceeds the slots for some seconds. Which requests are late, and which are rejected,
/// is decided before they are sent, by their rank and by the time that they have left.
namespace Balancing {

struct WorkQueue {
    std::vector<WaitingRequest> requests;
    std::uint64_t bytes = 0;
    std::uint64_t maxBytes = 1 << 20;
    /// Moving mean of the latency of attempts relative to the expected one.
    double latencyFactor = 1;
    /// Moving mean of the distance of single samples from it.
    double latencyDeviation = 0.25;
    /// Sends to more urgent requests in a row while less urgent ones waited.
    unsigned urgentSends = 0;
};

/// Records a response that took \a latency.
void recordCompletion(WorkQueue& queue, Utils::Duration latency, Utils::Duration expected);

/// Adds a request. Those that can't be served in time are returned by \c takeHopeless.
void addWaiting(WorkQueue& queue, const WaitingRequest& request);

/// Removes a request if it waits.
void removeWaiting(WorkQueue& queue, std::uint64_t id);

/// Removes the requests that are not worth waiting for, given that \a places requests are at upstreams at a
/// time. Others that overtake a request may make it one of these.
std::vector<QueueRejection> takeHopeless(WorkQueue& queue, unsigned places, Utils::Instant now);

/// Removes the request to be sent next and returns its id.
std::optional<std::uint64_t> takeNext(WorkQueue& queue, Utils::Instant now);

/// When the state of a waiting request changes without an event; empty if none waits.
std::optional<Utils::Instant> nextChangeAt(const WorkQueue& queue, Utils::Instant now);

} // namespace Balancing
