#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// The bytes of a large answer: a sequence that depends on the request and the position only, so that a
/// caller recognises a cut answer and another caller's answer.
namespace Journal {

/// The seed of the answer to \a request.
std::uint64_t patternSeed(std::string_view request);

/// Writes the bytes from \a position on to \a bytes.
void fillPattern(std::uint64_t seed, std::uint64_t position, std::span<char> bytes);

/// Whether \a bytes are those from \a position on.
bool matchesPattern(std::uint64_t seed, std::uint64_t position, std::span<const char> bytes);

} // namespace Journal
