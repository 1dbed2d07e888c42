#pragma once

#include <cstdint>
#include <string>

namespace OwnershipBench {

/// What a run showed.
struct SimulationResult {
    /// Time in which no request for the shard could have run, after it was served first.
    std::int64_t orphanedMs = 0;
    /// The longest such time in one piece.
    std::int64_t maxOrphanedMs = 0;
    /// Changes of the serving upstream.
    std::int64_t moves = 0;
    /// Instants in which two upstreams held the shard.
    std::int64_t doubleOwners = 0;
    /// Upstream that served at the end; empty if none did.
    std::string servedBy;
    std::int64_t messages = 0;
};

} // namespace OwnershipBench
