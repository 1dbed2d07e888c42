#pragma once

#include "instance.h"

#include <cstddef>
#include <vector>

namespace Explorer {

/// States after which an exploration gives up.
inline constexpr std::size_t defaultMaxStates = 4'000'000;

/// The instances that the rule has to pass.
std::vector<Instance> safeInstances();

/// Instances that each lack one guard, in which two owners have to be found.
std::vector<Instance> weakenedInstances();

/// Both.
std::vector<Instance> allInstances();

} // namespace Explorer
