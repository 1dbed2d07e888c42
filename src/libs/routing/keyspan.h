#pragma once

#include <compare>
#include <cstdint>

namespace Routing {

/// The keys from \c first to \c last, both included.
struct KeySpan {
    std::uint16_t first = 0;
    std::uint16_t last = UINT16_MAX;

    auto operator<=>(const KeySpan&) const = default;
};

constexpr bool contains(const KeySpan& span, std::uint16_t key)
{
    return span.first <= key && key <= span.last;
}

/// Number of keys in \a span.
constexpr std::uint32_t countKeys(const KeySpan& span)
{
    return static_cast<std::uint32_t>(span.last) - span.first + 1;
}

} // namespace Routing
