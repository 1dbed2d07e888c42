#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Journal {

/// What a row of a caller's journal tells.
enum class CallerEvent {
    /// A request was due.
    Offered,
    /// One sending of it came to an end.
    Attempt,
    /// It got its last answer, or was given up.
    Final,
};

inline constexpr std::array<Utils::EnumName<CallerEvent>, 3> callerEventNames { {
    { CallerEvent::Offered, "offered" },
    { CallerEvent::Attempt, "attempt" },
    { CallerEvent::Final, "final" },
} };

} // namespace Journal
