#pragma once

#include <standins/caller/attemptresult.h>

#include <chrono>
#include <optional>

namespace StandInCaller {

/// What earlier sendings of a request came to.
struct RequestHistory {
    /// Sendings so far.
    unsigned attempts = 0;
    /// Whether one of them may have run.
    bool mayHaveRun = false;
    /// Whether one of them was told as done but broke off.
    bool brokeOff = false;
};

/// What a caller does after a sending.
struct NextStep {
    /// Wait before the next sending; nothing ends the request with \c result.
    std::optional<std::chrono::milliseconds> repeatAfter;
    AttemptResult result;
};

/// Decides what follows \a result and adds it to \a history.
NextStep nextStep(RequestHistory& history, const AttemptResult& result, unsigned repeats);

} // namespace StandInCaller
