#pragma once

#include <granting/assignmentdelta.h>
#include <granting/leaderrecord.h>

#include <optional>

namespace GrantTest {

/// What the leader sends to a VM that is linked to it.
struct SimulatedFrame {
    Granting::LeaderRecord leader;
    Utils::Offset leaderLogEnd = 0;
    /// The leader has read the store recently.
    bool isFresh = false;
    std::optional<Granting::KeyAssignment> assignment;
    std::optional<Granting::AssignmentDelta> delta;
};

} // namespace GrantTest
