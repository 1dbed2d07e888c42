#pragma once

#include <balancing/attemptcontext.h>
#include <balancing/nextstep.h>

namespace Balancing {

/// What happens after an attempt, before the retry budget is asked.
///
/// Load pattern: upstreams that refuse, break or go silent under load. A request that may have run is
/// repeated only if it is idempotent; one that did not run only while an answer can still come in time.
NextStep decideNext(const AttemptContext& facts);

/// The step when the request can't be tried again.
NextStep chooseFinalStep(const AttemptContext& facts);

} // namespace Balancing
