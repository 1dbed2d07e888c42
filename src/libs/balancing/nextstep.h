#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// Next step for a request after an attempt.
enum class NextStep {
    /// The response of the upstream is sent to the caller.
    DeliverResponse,
    Retry,
    /// The caller is informed that the request has not run and when it may retry.
    RejectNotRun,
    /// The caller is informed that the outcome is unknown.
    FailOutcomeUnknown,
};

inline constexpr std::array<Utils::EnumName<NextStep>, 4> nextStepNames { {
    { NextStep::DeliverResponse, "deliver" },
    { NextStep::Retry, "try_again" },
    { NextStep::RejectNotRun, "refuse_not_run" },
    { NextStep::FailOutcomeUnknown, "fail_unknown" },
} };

} // namespace Balancing
