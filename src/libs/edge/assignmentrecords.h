#pragma once

#include <edge/node.h>
#include <granting/keyassignment.h>

#include <vector>

/// The leader's records of who holds which keys, in the store.
namespace Edge::Internal {

/// Time for the store to answer an append or a leader's read; it takes 4 ms, and a third of a second when it
/// is slow.
inline constexpr Utils::Duration appendTimeout = std::chrono::milliseconds(700);

/// Writes \a assignments if nobody else has written since they were last read. After any other end the
/// records are read again, as they may or may not stand there.
void writeAssignments(Node& node, std::vector<Granting::KeyAssignment> assignments);

/// Reads what stands in the store.
void readAssignments(Node& node);

} // namespace Edge::Internal
