#pragma once

#include <cstddef>
#include <cstdint>

namespace Measure {

/// What the dispatcher's decisions cost on this machine, in real time and heap.
struct DecisionCost {
    /// Nanoseconds for taking, starting and finishing one work.
    double nanosecondsPerWork = 0;
    /// Heap bytes for each non-idempotent request remembered.
    double bytesPerRemembered = 0;
    /// Heap bytes for each work queued.
    double bytesPerQueued = 0;
};

/// Measures with \a works works of each kind.
DecisionCost measureDecisions(std::uint64_t works);

} // namespace Measure
