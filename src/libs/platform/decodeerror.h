#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Platform {

/// Why something that the platform or a server said could not be used. Each has a counter.
enum class DecodeError {
    /// No JSON, no TOML, or not the framing that the call has.
    Unreadable,
    MissingField,
    WrongType,
    /// A word that is not one of those that the field may have.
    UnknownValue,
    /// A number or time that makes no sense in its field.
    OutOfRange,
};

inline constexpr std::array<Utils::EnumName<DecodeError>, 5> decodeErrorNames { {
    { DecodeError::Unreadable, "unreadable" },
    { DecodeError::MissingField, "missing_field" },
    { DecodeError::WrongType, "wrong_type" },
    { DecodeError::UnknownValue, "unknown_word" },
    { DecodeError::OutOfRange, "out_of_range" },
} };

} // namespace Platform
