#pragma once

#include <cstdint>
#include <random>
#include <string>

/// Random damage to input, reproducible by seed.
namespace GarbledTest {

/// Returns \a text with a few random changes: bytes replaced, inserted, removed, duplicated or swapped, or
/// the text truncated.
std::string mutated(std::string text, std::mt19937_64& random);

} // namespace GarbledTest
