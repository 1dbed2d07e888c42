#pragma once

#include <gateway/linkid.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace Gateway {

/// Where a held work came from: a link, or this very instance as entry.
struct Origin {
    std::optional<LinkId> link;
    /// The entry's number of the request.
    std::uint64_t request = 0;

    auto operator<=>(const Origin&) const = default;
};

} // namespace Gateway
