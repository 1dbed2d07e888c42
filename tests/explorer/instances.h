#pragma once

#include "instance.h"

#include <cstddef>
#include <vector>

namespace Explorer {

/// Number of states after which an exploration is aborted.
inline constexpr std::size_t defaultMaxStates = 4'000'000;

/// The instances with all guards, in which no safety violation may be found.
std::vector<Instance> safeInstances();

/// Instances that each lack one guard or holder check, in which a safety violation must be found.
std::vector<Instance> weakenedInstances();

/// The safe and the weakened instances.
std::vector<Instance> allInstances();

} // namespace Explorer
