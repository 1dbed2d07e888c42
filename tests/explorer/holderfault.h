#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Explorer {

/// What an upstream of an instance leaves out of the grant protocol.
enum class HolderFault {
    None,
    IgnoresSequence,
    IgnoresIncarnation,
    IgnoresLevel,
    /// Counts a lease from the receipt of the grant instead of taking its end on its own clock.
    CountsFromReceipt,
};

inline constexpr std::array<Utils::EnumName<HolderFault>, 5> holderFaultNames { {
    { HolderFault::None, "none" },
    { HolderFault::IgnoresSequence, "ignores_sequence" },
    { HolderFault::IgnoresIncarnation, "ignores_incarnation" },
    { HolderFault::IgnoresLevel, "ignores_level" },
    { HolderFault::CountsFromReceipt, "counts_from_receipt" },
} };

} // namespace Explorer
