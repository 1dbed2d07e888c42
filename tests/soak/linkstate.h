#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Soak {

/// What a proxy does with connections.
enum class LinkState {
    Open,
    /// No bytes get through, and the SYNs of new connections are not answered.
    Hanging,
    /// Existing connections live on, new ones are refused.
    RefusingNew,
    /// Existing connections are reset, new ones are refused.
    Reset,
};

inline constexpr std::array<Utils::EnumName<LinkState>, 4> linkStateNames { {
    { LinkState::Open, "open" },
    { LinkState::Hanging, "hanging" },
    { LinkState::RefusingNew, "refusing_new" },
    { LinkState::Reset, "reset" },
} };

} // namespace Soak
