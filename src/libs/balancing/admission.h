#pragma once

#include <balancing/admissioncontext.h>
#include <balancing/admissiondecision.h>

namespace Balancing {

/// Decides whether a request is sent to an upstream now or rejected at once.
///
/// Load pattern: overload beyond the capacity of the upstreams. A request whose response would miss the
/// target latency takes capacity from one that could still meet it. Such a request is rejected with a retry
/// delay, after which capacity is expected, as long as its caller has time left for a retry. A request that
/// cannot be completed in its remaining time is rejected even if it is a caller retry. So is one that has to
/// leave room for more urgent requests.
AdmissionDecision admit(const AdmissionContext& context);

} // namespace Balancing
