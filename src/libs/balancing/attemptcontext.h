#pragma once

#include <balancing/attemptoutcome.h>
#include <utils/time.h>

namespace Balancing {

/// Inputs of the decision whether a request is retried.
struct AttemptContext {
    AttemptOutcome outcome = AttemptOutcome::Responded;
    bool idempotent = false;
    /// Whether an earlier attempt may have run at an upstream.
    bool earlierAttemptMayHaveRun = false;
    /// Whether part of a response has been sent to the caller.
    bool responseStarted = false;
    /// Number of upstreams that the request was sent to, including the last one.
    unsigned attemptCount = 0;
    unsigned maxAttempts = 1;
    /// Another upstream is available for the request.
    bool hasOtherUpstream = false;
    Utils::Duration timeLeft {};
    /// Expected latency of one more attempt.
    Utils::Duration expectedLatency {};
};

} // namespace Balancing
