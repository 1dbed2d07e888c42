#pragma once

#include <utils/enumtable.h>

#include <array>

namespace LogService {

/// What the platform says of a VM.
enum class VmState { Live, Leaving };

inline constexpr std::array<Utils::EnumName<VmState>, 2> vmStateNames { {
    { VmState::Live, "live" },
    { VmState::Leaving, "leaving" },
} };

} // namespace LogService
