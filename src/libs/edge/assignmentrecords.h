#pragma once

#include <edge/node.h>
#include <granting/keyassignment.h>

#include <vector>

/// Reading and writing of the key assignments that the leader keeps in the store.
namespace Edge::Internal {

/// Timeout of an append and of a read by the leader. The store usually responds within 4 ms, and within a
/// third of a second when it is slow.
inline constexpr Utils::Duration appendTimeout = std::chrono::milliseconds(700);

/// Appends \a assignments on the condition that nobody else has written since the last read. If the outcome
/// is unknown, the records are read again, as the append may have taken effect.
void writeAssignments(Node& node, std::vector<Granting::KeyAssignment> assignments);

/// Sets before when the leader grants nothing in this term: unknown grants may be in force.
void deferGrantsUnlessSettled(Node& node);

/// Reads the assignments from the store.
void readAssignments(Node& node);

} // namespace Edge::Internal
