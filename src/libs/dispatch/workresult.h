#pragma once

#include <dispatch/workresultkind.h>
#include <requests/reason.h>
#include <utils/time.h>

#include <cstdint>

namespace Dispatch {

/// What a network thread reports of a started work, once for each start.
struct WorkResult {
    WorkResultKind kind = WorkResultKind::Done;
    /// Why it was not run; one of the reasons whose outcome is not run. Only with \c NotRun.
    Requests::Reason reason = Requests::Reason::None;
    /// When the upstream asked to be tried again; zero if it didn't say.
    Utils::Duration retryAfter {};
    /// From the sending to the end of the answer, as the upstream's connection saw it.
    Utils::Duration serviceTime {};
    /// Size of the answer.
    std::uint64_t answerBytes = 0;
    /// Whether the network thread still holds the whole answer and can store it.
    bool wholeAnswer = false;
};

} // namespace Dispatch
