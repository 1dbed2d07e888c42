#pragma once

#include <cstdint>
#include <string>

namespace OwnershipBench {

/// Result of a simulation run.
struct SimulationResult {
    /// Total time after the shard was first served in which no request for it could have been executed.
    std::int64_t orphanedMs = 0;
    /// The longest uninterrupted such time.
    std::int64_t maxOrphanedMs = 0;
    /// Changes of the serving upstream.
    std::int64_t moves = 0;
    /// Number of simulation steps in which two upstreams held the shard.
    std::int64_t doubleOwners = 0;
    /// Upstream that served at the end; empty if there was none.
    std::string servedBy;
    std::int64_t messages = 0;
};

} // namespace OwnershipBench
