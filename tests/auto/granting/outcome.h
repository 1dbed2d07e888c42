#pragma once

#include <string>

namespace GrantTest {

struct Outcome {
    /// Two upstreams held the same key at the same time.
    unsigned overlaps = 0;
    /// Keys were granted with a token that was not above the tokens of their previous holders.
    unsigned tokenRegressions = 0;
    /// Completed moves of keys.
    unsigned moves = 0;
    unsigned terms = 0;
    /// Returns of the store from an older copy.
    unsigned returns = 0;
    unsigned vmRestarts = 0;
    /// Terms whose grants were deferred as the leader may not have known all assignments.
    unsigned deferrals = 0;
    /// Restarts of upstreams.
    unsigned restarts = 0;
    std::string firstFault;
};

} // namespace GrantTest
