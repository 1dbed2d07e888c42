#pragma once

#include <declarations/configuration.h>

#include <cstdint>

namespace DeclarationsTest {

/// A random configuration that passes every check, the same for the same \a seed.
Declarations::Configuration randomConfiguration(std::uint64_t seed);

/// A seed in which rapidcheck's shrinking has no part.
std::uint64_t anySeed();

} // namespace DeclarationsTest
