#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Soak {

/// When a request was sent, relative to a partition, at a VM that nothing else had disturbed lately.
enum class CutPhase {
    None,
    /// At a VM that is cut, while another VM reaches the upstreams.
    Cut,
    /// At another VM at that time.
    OthersDuringCut,
    /// At a VM that was cut, shortly after healing.
    Healed,
    /// At another VM at that time.
    OthersAfterHealing,
};

inline constexpr std::array<Utils::EnumName<CutPhase>, 5> cutPhaseNames { {
    { CutPhase::None, "none" },
    { CutPhase::Cut, "cut" },
    { CutPhase::OthersDuringCut, "others" },
    { CutPhase::Healed, "healed" },
    { CutPhase::OthersAfterHealing, "others_after" },
} };

} // namespace Soak
