#pragma once

#include <utils/enumtable.h>

#include <array>
#include <cstdint>

namespace Relay {

/// Kinds of records that a relay source sends to its subscribers.
enum class RelayTopic : std::uint8_t {
    Configurations,
    /// Reports of upstreams; only those that changed the cluster view of the sender.
    Reports,
    Assignments,
    /// The difference between an assignment and the one relayed before it.
    AssignmentDeltas,
};

inline constexpr std::array<Utils::EnumName<RelayTopic>, 4> relayTopicNames { {
    { RelayTopic::Configurations, "configurations" },
    { RelayTopic::Reports, "reports" },
    { RelayTopic::Assignments, "assignments" },
    { RelayTopic::AssignmentDeltas, "assignment_deltas" },
} };

} // namespace Relay
