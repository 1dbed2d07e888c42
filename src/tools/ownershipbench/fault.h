#pragma once

#include <utils/enumtable.h>
#include <utils/time.h>

#include <array>
#include <string>

namespace OwnershipBench {

/// Kinds of faults that can be injected.
enum class FaultKind {
    /// The process terminates and does not restart.
    Terminate,
    /// The process is suspended and resumes later with its state unchanged.
    Freeze,
    /// The process restarts and loses its state.
    Restart,
    /// No messages reach or leave the process, but it keeps running.
    Isolate,
    /// The log service does not respond.
    LogDown,
    /// The VM stops as planned and hands over.
    HandOver,
};

inline constexpr std::array<Utils::EnumName<FaultKind>, 6> faultKindNames { {
    { FaultKind::Terminate, "lose" },
    { FaultKind::Freeze, "freeze" },
    { FaultKind::Restart, "restart" },
    { FaultKind::Isolate, "isolate" },
    { FaultKind::LogDown, "log_down" },
    { FaultKind::HandOver, "hand_over" },
} };

/// One fault of a run: its kind, the affected process, the start and, if it is temporary, the duration.
struct Fault {
    FaultKind kind = FaultKind::Terminate;
    /// Name of the VM or upstream.
    std::string process;
    Utils::Duration startsAfter {};
    Utils::Duration duration {};
};

} // namespace OwnershipBench
