#pragma once

#include <cstddef>

namespace Explorer {

/// Kinds of events that can occur in a state.
enum class EventKind {
    DeliverLate,
    DuplicateLate,
    RunTimer,
    ReadLog,
    TakeOver,
    HandOver,
    RestartVm,
    RestartUpstream,
    Append,
    RetirePreviousAssignments,
    /// Time advances; \c index names a process whose clock misses the tick, or none.
    AdvanceClock,
};

/// An event and the index of the VM, upstream or message that it affects.
struct Event {
    EventKind kind = EventKind::AdvanceClock;
    std::size_t index = 0;
};

/// Index of an AdvanceClock event in which no clock misses the tick.
inline constexpr std::size_t noStalledProcess = 99;

} // namespace Explorer
