#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Dispatch {

/// How a started work ended.
enum class WorkResultKind {
    /// The upstream ran it and its whole answer went to the caller's connection.
    Done,
    /// The upstream said that it did not run it, or was never reached.
    NotRun,
    /// The connection broke, or the answer was cut, after the work was sent.
    Lost,
    /// The upstream crashed while it ran the work: its incarnation changed or it refuses connections.
    Crashed,
    /// No answer within the deadline.
    TimedOut,
};

inline constexpr std::array<Utils::EnumName<WorkResultKind>, 5> workResultKindNames { {
    { WorkResultKind::Done, "done" },
    { WorkResultKind::NotRun, "not_run" },
    { WorkResultKind::Lost, "lost" },
    { WorkResultKind::Crashed, "crashed" },
    { WorkResultKind::TimedOut, "timed_out" },
} };

} // namespace Dispatch
