#pragma once

#include <granting/granter.h>
#include <granting/leadership.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Simulates the production decisions of two VMs in virtual time, with a store, three upstreams that restart,
/// and messages that are delayed, lost, or applied after their timeout.
namespace GrantTest {

/// Guards that a run can disable, to show that the simulation detects the fault that each prevents.
struct Guards {
    /// A new leader waits for the expiry of key leases that the previous one may have granted.
    bool awaitsPreviousKeyLeases = true;
    /// A leader stops when its lease has expired.
    bool leaderLeaseExpires = true;
    /// A release is sent with a token above that of any grant in flight.
    bool releaseRaisesToken = true;
};

struct Outcome {
    /// Two upstreams held the same key at the same time.
    unsigned overlaps = 0;
    /// Keys were granted with a token that was not above the tokens of their previous holders.
    unsigned tokenRegressions = 0;
    /// Completed moves of keys.
    unsigned moves = 0;
    unsigned terms = 0;
    /// Restarts of upstreams.
    unsigned restarts = 0;
    std::string firstFault;
};

/// Runs the simulation for \a seconds of virtual time.
Outcome runSimulation(std::uint64_t seed, unsigned seconds, const Guards& guards);

} // namespace GrantTest
