#pragma once

#include <utils/enumtable.h>
#include <utils/time.h>

#include <array>
#include <string>

namespace OwnershipBench {

/// Something that goes wrong in a run.
enum class FaultKind {
    /// The process is gone for good.
    Terminate,
    /// The process stops and goes on later as if nothing had happened.
    Freeze,
    /// The process starts anew and has forgotten everything.
    Restart,
    /// Nothing reaches the process and nothing leaves it, but it runs.
    Isolate,
    /// The log service answers nobody.
    LogDown,
    /// The VM stops by plan.
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

/// One fault of a run: what, to whom, when, and for how long if it passes.
struct Fault {
    FaultKind kind = FaultKind::Terminate;
    /// Name of the VM or upstream.
    std::string process;
    Utils::Duration startsAfter {};
    Utils::Duration duration {};
};

} // namespace OwnershipBench
