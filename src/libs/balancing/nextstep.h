#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// What happens to a request after an attempt.
enum class NextStep {
    /// The upstream's answer goes to the caller.
    Deliver,
    TryAgain,
    /// The caller is told that the request has not run, and when to come back.
    RefuseNotRun,
    /// The caller is told that the outcome is not known.
    FailUnknown,
};

inline constexpr std::array<Utils::EnumName<NextStep>, 4> nextStepNames { {
    { NextStep::Deliver, "deliver" },
    { NextStep::TryAgain, "try_again" },
    { NextStep::RefuseNotRun, "refuse_not_run" },
    { NextStep::FailUnknown, "fail_unknown" },
} };

} // namespace Balancing
