#pragma once

#include <utils/enumtable.h>

#include <array>
#include <cstdint>

namespace Relay {

/// What the leader passes on.
enum class RelayTopic : std::uint8_t {
    Configurations,
    /// Reports of upstreams; only those that change what is believed of one.
    Reports,
    Assignments,
    /// What changed in an assignment since the last that was passed on.
    AssignmentDeltas,
};

inline constexpr std::array<Utils::EnumName<RelayTopic>, 4> relayTopicNames { {
    { RelayTopic::Configurations, "configurations" },
    { RelayTopic::Reports, "reports" },
    { RelayTopic::Assignments, "assignments" },
    { RelayTopic::AssignmentDeltas, "assignment_deltas" },
} };

} // namespace Relay
