#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// The VM from which this one gets new records.
enum class SourceKind {
    Leader,
    /// Gets its records from the leader, which has named it.
    Relay,
    /// Reads the store while no leader is known.
    Fallback,
    /// Is no source, and is asked who is.
    Peer,
};

inline constexpr std::array<Utils::EnumName<SourceKind>, 4> sourceKindNames { {
    { SourceKind::Leader, "leader" },
    { SourceKind::Relay, "relay" },
    { SourceKind::Fallback, "source" },
    { SourceKind::Peer, "peer" },
} };

} // namespace Edge
