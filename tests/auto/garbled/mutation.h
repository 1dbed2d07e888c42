#pragma once

#include <cstdint>
#include <random>
#include <string>

/// Damage as it may come over a wire, by seed.
namespace GarbledTest {

/// \a text with a few bytes changed, added, dropped, doubled or swapped, or cut short.
std::string mutated(std::string text, std::mt19937_64& random);

} // namespace GarbledTest
