#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Granting {

/// Why a record or message could not be decoded.
enum class RecordError {
    Unreadable,
    /// Segments overlap, leave gaps or are out of order.
    Inconsistent,
};

inline constexpr std::array<Utils::EnumName<RecordError>, 2> recordErrorNames { {
    { RecordError::Unreadable, "unreadable" },
    { RecordError::Inconsistent, "inconsistent" },
} };

} // namespace Granting
