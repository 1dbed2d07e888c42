#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Journal {

/// A promise that the journals show broken.
enum class FindingKind {
    /// Told as done though no upstream ran it, or never told anything.
    Lost,
    /// A non-idempotent request that ran more than once.
    Doubled,
    /// An answer told as done that was not whole, or was another request's.
    Cut,
    /// Told as not run though an upstream ran it.
    NotRunButRan,
    /// Two upstreams owned a shard at the same moment.
    Overlap,
};

inline constexpr std::array<Utils::EnumName<FindingKind>, 5> findingKindNames { {
    { FindingKind::Lost, "lost" },
    { FindingKind::Doubled, "doubled" },
    { FindingKind::Cut, "cut" },
    { FindingKind::NotRunButRan, "not_run_but_ran" },
    { FindingKind::Overlap, "overlap" },
} };

} // namespace Journal
