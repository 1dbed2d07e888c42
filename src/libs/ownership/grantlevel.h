#pragma once

#include <utils/ids.h>

#include <compare>
#include <cstdint>

namespace Ownership {

/// Fencing level of a granter. Compared by token, then by epoch.
struct GrantLevel {
    /// Offset of the assignment record.
    Utils::Offset token = 0;
    /// 1 for the dispatcher that the record names, 2 for its successor.
    std::uint32_t epoch = 0;

    auto operator<=>(const GrantLevel&) const = default;
};

} // namespace Ownership
