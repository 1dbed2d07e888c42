#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Gateway {

/// Why an upstream's control answer was not understood.
enum class HolderError {
    NotJson,
    MissingField,
    WrongType,
    UnknownVerdict,
};

inline constexpr std::array<Utils::EnumName<HolderError>, 4> holderErrorNames { {
    { HolderError::NotJson, "not_json" },
    { HolderError::MissingField, "missing_field" },
    { HolderError::WrongType, "wrong_type" },
    { HolderError::UnknownVerdict, "unknown_verdict" },
} };

} // namespace Gateway
