#pragma once

#include "digest.h"

#include <ownership/granterstate.h>
#include <utils/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Explorer {

inline constexpr std::size_t upstreamCount = 3;

/// One VM of a system state.
struct Vm {
    Utils::Incarnation incarnation = 1;
    /// Number of log records that the VM has read.
    std::size_t readRecordCount = 0;
    /// Whether its timer has run in this tick.
    bool hasTicked = false;
    Ownership::GranterState state;
    /// Ticks for which a request of any incarnation of the VM may still be in flight to each upstream.
    std::array<std::uint8_t, upstreamCount> inFlightTicks {};
    /// Identifies all of the above once the VM is in canonical form.
    Digest digest;
};

} // namespace Explorer
