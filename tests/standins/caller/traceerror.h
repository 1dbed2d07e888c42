#pragma once

#include <utils/enumtable.h>

#include <array>

namespace StandInCaller {

/// Why a trace can't be replayed.
enum class TraceError {
    Unreadable,
    NotAnObject,
    MissingField,
    OutOfOrder,
};

inline constexpr std::array<Utils::EnumName<TraceError>, 4> traceErrorNames { {
    { TraceError::Unreadable, "unreadable" },
    { TraceError::NotAnObject, "not_an_object" },
    { TraceError::MissingField, "missing_field" },
    { TraceError::OutOfOrder, "out_of_order" },
} };

} // namespace StandInCaller
