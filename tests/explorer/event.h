#pragma once

#include <cstddef>

namespace Explorer {

/// Something that can happen in a world.
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
    /// Time passes; \c index names a process whose clock misses the tick, or none.
    AdvanceClock,
};

/// One event and the VM, upstream or message that it happens to.
struct Event {
    EventKind kind = EventKind::AdvanceClock;
    std::size_t index = 0;
};

/// Index of an Advance in which no clock misses the tick.
inline constexpr std::size_t noStalledProcess = 99;

} // namespace Explorer
