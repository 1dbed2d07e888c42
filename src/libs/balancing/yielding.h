#pragma once

#include <balancing/servicestats.h>

namespace Balancing {

/// Records that a request of \a priority was rejected because the upstreams of its service had no room for
/// it.
void recordRejectedForLoad(ServiceStats& stats, unsigned priority, Utils::Instant now);

/// Whether requests more urgent than \a priority have been rejected lately for lack of room.
bool isUrgentWorkRejected(const ServiceStats& stats, unsigned priority, Utils::Instant now);

/// Whether a request of \a priority has to leave the last free slot of an upstream to more urgent ones.
///
/// Load pattern: a burst of long requests with a distant target fills all slots of a service, and a queue
/// that is short enough for them is too long for urgent requests. While urgent ones have been rejected
/// recently, others keep one slot of each upstream free.
///
/// \param load estimated number of requests at the upstream, which has \a slots.
bool mustYield(const ServiceStats& stats, unsigned priority, double load, unsigned slots, Utils::Instant now);

} // namespace Balancing
