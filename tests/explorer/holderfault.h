#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Explorer {

/// Check of the grant protocol that the upstreams of an instance omit.
enum class HolderFault {
    None,
    IgnoresSequence,
    IgnoresIncarnation,
    IgnoresLevel,
    /// Computes the lease expiry from the receipt of the grant instead of taking the expiry on its own clock
    /// from the grant.
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
