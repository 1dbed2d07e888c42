#pragma once

#include <granting/granter.h>
#include <granting/leadership.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// A small world in virtual time that drives the production decisions of two VMs: a store, three upstreams,
/// and messages that are delayed, lost, answered without effect or carried out late.
namespace GrantTest {

/// Guards that a run may leave out, to show that the run would find the fault.
struct Guards {
    /// A new leader waits for the holds that the former one may have granted.
    bool awaitsPreviousKeyLeases = true;
    /// A leader stops when its lease has lapsed.
    bool leaderLeaseExpires = true;
    /// A release is sent with a token above that of any grant still under way.
    bool releaseRaisesToken = true;
};

struct Outcome {
    /// Two upstreams held the same key at the same time.
    unsigned overlaps = 0;
    /// Keys were taken with a token that was not above all with which others had them.
    unsigned tokenRegressions = 0;
    /// Moves of keys that were completed.
    unsigned moves = 0;
    unsigned terms = 0;
    std::string firstFault;
};

/// Plays \a seconds of virtual time.
Outcome runSimulation(std::uint64_t seed, unsigned seconds, const Guards& guards);

} // namespace GrantTest
