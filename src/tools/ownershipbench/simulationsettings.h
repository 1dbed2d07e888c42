#pragma once

#include "fault.h"

#include <declarations/leasepolicy.h>
#include <utils/time.h>

#include <cstdint>
#include <vector>

namespace OwnershipBench {

/// Settings of one run in virtual time with one shard: dispatcher "d1", successor "d2" and spare "d3",
/// upstreams "A", "B" and spare "C".
struct SimulationSettings {
    std::uint64_t seed = 1;
    Declarations::LeasePolicy lease;
    std::vector<Fault> faults;
    Utils::Duration duration = std::chrono::seconds(6);
    /// Minimum and maximum one-way latency between two processes.
    Utils::Duration minLatency = std::chrono::microseconds(1000);
    Utils::Duration maxLatency = std::chrono::microseconds(2500);
    /// Time from an append until the record can be read.
    Utils::Duration logLatency = std::chrono::milliseconds(40);
    /// Whether the record names a standby and a successor. Without them every change goes through the log.
    bool hasStandbys = true;
    /// Whether a leader appends a new record when a named process is terminated.
    bool hasLeader = true;
};

} // namespace OwnershipBench
