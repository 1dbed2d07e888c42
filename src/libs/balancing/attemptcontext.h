#pragma once

#include <balancing/attemptoutcome.h>
#include <utils/time.h>

namespace Balancing {

/// What decides whether a request is tried again.
struct AttemptContext {
    AttemptOutcome outcome = AttemptOutcome::Responded;
    bool idempotent = false;
    /// Whether an earlier attempt may have run.
    bool earlierAttemptMayHaveRun = false;
    /// Whether part of an answer has gone to the caller.
    bool responseStarted = false;
    /// Upstreams that the request was sent to, this one included.
    unsigned attemptCount = 0;
    unsigned maxAttempts = 1;
    /// Another upstream could take it.
    bool hasOtherUpstream = false;
    Utils::Duration timeLeft {};
    /// Time that one more attempt is likely to take.
    Utils::Duration expectedLatency {};
};

} // namespace Balancing
