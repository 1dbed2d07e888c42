#pragma once

#include <balancing/attemptcontext.h>
#include <balancing/nextstep.h>

namespace Balancing {

/// Decides what happens to a request after an attempt, before the retry budget is consulted.
///
/// Load pattern: upstreams that reject requests, lose connections or stop responding under load. A request
/// that may have run is retried only if it is idempotent. No request is retried if its remaining time is
/// shorter than the expected latency.
NextStep decideNext(const AttemptContext& context);

/// Chooses the step for a request that is not retried.
NextStep chooseFinalStep(const AttemptContext& context);

} // namespace Balancing
