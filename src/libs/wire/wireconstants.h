#pragma once

#include <cstddef>
#include <cstdint>

namespace Wire {

/// Bytes of the length that precedes each frame, little-endian.
inline constexpr std::size_t frameLengthBytes = 4;

/// Longest frame, in bytes, without its length.
inline constexpr std::uint32_t maxFrameBytes = 18U << 20U;

/// Longest control datagram, in bytes.
inline constexpr std::size_t maxDatagramBytes = 1400;

/// Largest part of an answer in one message, in bytes.
inline constexpr std::size_t maxChunkBytes = 64U << 10U;

} // namespace Wire
