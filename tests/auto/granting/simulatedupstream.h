#pragma once

#include "simulatedkeylease.h"

#include <map>
#include <vector>

namespace GrantTest {

struct SimulatedUpstream {
    /// Number of starts of the process, and when the last one was or will be.
    unsigned starts = 0;
    Utils::Instant startedAt {};
    std::vector<SimulatedKeyLease> leases;
    /// Highest token seen, by probe key.
    std::map<std::uint16_t, std::uint64_t> highestSeenTokens;
    bool isPartitioned = false;
};

} // namespace GrantTest
