#pragma once

#include <cstdint>
#include <string_view>

namespace Utils {

/// A stable 64-bit hash of \a bytes (xxHash), the same on every VM and in every version.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace Utils
