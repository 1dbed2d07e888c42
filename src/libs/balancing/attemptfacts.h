#pragma once

#include <balancing/attemptend.h>
#include <utils/time.h>

namespace Balancing {

/// What decides whether a request is tried again.
struct AttemptFacts {
    AttemptEnd end = AttemptEnd::Answered;
    bool idempotent = false;
    /// Whether an earlier attempt may have run.
    bool mayHaveRun = false;
    /// Whether part of an answer has gone to the caller.
    bool answerBegun = false;
    /// Upstreams that the request was sent to, this one included.
    unsigned sent = 0;
    unsigned maxAttempts = 1;
    /// Another upstream could take it.
    bool hasOther = false;
    Utils::Duration timeLeft {};
    /// Time that one more attempt is likely to take.
    Utils::Duration expected {};
};

} // namespace Balancing
