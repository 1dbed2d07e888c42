#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Journal {

/// Why a journal can't be compared.
enum class JournalError {
    Unreadable,
    BadLine,
};

inline constexpr std::array<Utils::EnumName<JournalError>, 2> journalErrorNames { {
    { JournalError::Unreadable, "unreadable" },
    { JournalError::BadLine, "bad_line" },
} };

} // namespace Journal
