#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Wire {

/// Why bytes from another instance were refused.
enum class WireError {
    FrameEmpty,
    FrameTooLong,
    FrameMalformed,
    UnknownMessage,
    UnknownReason,
    ValueOutOfRange,
};

inline constexpr std::array<Utils::EnumName<WireError>, 6> wireErrorNames { {
    { WireError::FrameEmpty, "frame_empty" },
    { WireError::FrameTooLong, "frame_too_long" },
    { WireError::FrameMalformed, "frame_malformed" },
    { WireError::UnknownMessage, "unknown_message" },
    { WireError::UnknownReason, "unknown_reason" },
    { WireError::ValueOutOfRange, "value_out_of_range" },
} };

} // namespace Wire
