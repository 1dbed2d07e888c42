#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Relay {

/// Why a frame could not be read.
enum class RelayError {
    Malformed,
    /// Longer than maxFrameBytes.
    TooLong,
};

inline constexpr std::array<Utils::EnumName<RelayError>, 2> relayErrorNames { {
    { RelayError::Malformed, "malformed" },
    { RelayError::TooLong, "too_long" },
} };

} // namespace Relay
