#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Platform {

/// Why data from the platform or a server could not be decoded. Each value has its own metrics counter.
enum class DecodeError {
    /// The data is not valid JSON or TOML, or its framing is invalid.
    Unreadable,
    MissingField,
    WrongType,
    /// The text is not one of the values that the field allows.
    UnknownValue,
    /// The number, duration or text lies outside the range that the field allows.
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
