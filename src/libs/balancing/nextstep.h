#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// What happens to a request after an attempt.
enum class NextStep {
    /// The upstream's answer goes to the caller.
    DeliverResponse,
    Retry,
    /// The caller is told that the request has not run, and when to come back.
    RejectNotRun,
    /// The caller is told that the outcome is not known.
    FailOutcomeUnknown,
};

inline constexpr std::array<Utils::EnumName<NextStep>, 4> nextStepNames { {
    { NextStep::DeliverResponse, "deliver" },
    { NextStep::Retry, "try_again" },
    { NextStep::RejectNotRun, "refuse_not_run" },
    { NextStep::FailOutcomeUnknown, "fail_unknown" },
} };

} // namespace Balancing
