#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Agreement {

/// Why a text is no record.
enum class CodecError {
    TooLarge,
    /// The text ends inside a JSON value.
    Truncated,
    NotJson,
    UnknownVersion,
    UnknownKind,
    /// A field is missing, of the wrong type, or out of its bounds.
    BadField,
    /// A field that the record does not have.
    UnknownField,
};

inline constexpr std::array<Utils::EnumName<CodecError>, 7> codecErrorNames { {
    { CodecError::TooLarge, "too_large" },
    { CodecError::Truncated, "truncated" },
    { CodecError::NotJson, "not_json" },
    { CodecError::UnknownVersion, "unknown_version" },
    { CodecError::UnknownKind, "unknown_kind" },
    { CodecError::BadField, "bad_field" },
    { CodecError::UnknownField, "unknown_field" },
} };

} // namespace Agreement
