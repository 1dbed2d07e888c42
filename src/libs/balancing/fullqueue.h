#pragma once

#include <balancing/servicestats.h>
#include <balancing/upstreamload.h>
#include <utils/time.h>

/// Finds upstreams whose queue is full where these leave requests without a response.
namespace Balancing {

/// Records that an upstream has answered a request and reported that \a waiting others wait there.
void recordServedQueue(ServiceStats& stats, unsigned waiting);

/// Records that an attempt of \a sentAt got no response. Returns whether the upstream, with \a slots, has
/// most likely left the request without one because its queue was full. It is taken to be full for a moment
/// then.
///
/// Load pattern: a burst fills the queues of some upstreams, which answer what they have queued and nothing
/// else. A slow or crashed upstream answers no later request either.
bool recordUnanswered(
    UpstreamLoad& load, ServiceStats& stats, unsigned slots, Utils::Instant sentAt, Utils::Instant now);

/// Whether the queue of an upstream is believed full. Only where requests were left without a response
/// lately; other upstreams reject what they can't queue. A queue that upstreams of the service were seen to
/// serve is not full, and none is with a single request in it.
bool isBelievedFull(const UpstreamLoad& load, const ServiceStats& stats, unsigned slots, Utils::Instant now);

/// Returns after what time a full upstream, with \a slots, has room for one more request.
Utils::Duration timeToRoom(
    const UpstreamLoad& load, const ServiceStats& stats, unsigned slots, Utils::Instant now);

} // namespace Balancing
