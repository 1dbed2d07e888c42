#pragma once

#include <utils/ids.h>

#include <cstdint>

/// Positions of records in the store. When the store returns from an older copy, a new era begins: offsets go
/// back and are given out again. An offset is therefore only comparable together with its era. A position
/// contains both and rises over all eras.
namespace Platform {

/// Bits of a position that hold the offset; the higher ones hold the era.
inline constexpr unsigned positionOffsetBits = 36;

constexpr Utils::Offset makePosition(std::uint64_t era, Utils::Offset offset)
{
    return era << positionOffsetBits | offset;
}

constexpr Utils::Offset offsetOf(Utils::Offset position)
{
    return position & ((Utils::Offset(1) << positionOffsetBits) - 1);
}

constexpr std::uint64_t eraOf(Utils::Offset position) { return position >> positionOffsetBits; }

} // namespace Platform
