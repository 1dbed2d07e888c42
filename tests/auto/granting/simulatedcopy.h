#pragma once

#include <granting/keyassignment.h>
#include <granting/leaderrecord.h>

#include <vector>

namespace GrantTest {

/// A copy of the store, to which it returns later.
struct SimulatedCopy {
    std::vector<Granting::LeaderRecord> leaders;
    std::vector<Granting::KeyAssignment> records;
};

} // namespace GrantTest
