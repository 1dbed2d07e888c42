#pragma once

#include <standins/support/faulttable.h>

#include <array>
#include <cstdint>

namespace StandInVmList {

/// The faults that can be switched on.
struct VmListFaults {
    /// Every read of the list gets 503.
    std::uint64_t outage = 0;
    /// Time added to every answer, in milliseconds.
    std::uint64_t slowMs = 0;
    /// Time until a change shows, in milliseconds.
    std::uint64_t lagMs = 0;
    /// Answers that are no JSON.
    std::uint64_t malformedNext = 0;
    /// Answers that break off.
    std::uint64_t truncateNext = 0;
    /// Answers that are longer than a client should read.
    std::uint64_t overlongNext = 0;
};

inline constexpr std::array<StandInSupport::FaultField<VmListFaults>, 6> vmListFaultTable { {
    { "outage", &VmListFaults::outage },
    { "slow_ms", &VmListFaults::slowMs },
    { "lag_ms", &VmListFaults::lagMs },
    { "malformed_next", &VmListFaults::malformedNext },
    { "truncate_next", &VmListFaults::truncateNext },
    { "overlong_next", &VmListFaults::overlongNext },
} };

} // namespace StandInVmList
