#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Agreement {

/// What the fold made of one record. Each has a counter.
enum class Verdict {
    Accepted,
    /// The writer's sequence is not above the last one seen of it: a repeated append.
    Repeat,
    /// A configuration decided on one that has been replaced.
    StaleBase,
    /// An assignment or settlement decided on an assignment that has been replaced.
    StaleToken,
    /// A configuration that has faults.
    InvalidConfiguration,
    /// A configuration that gives other keys to a range while an assignment still names it.
    RangeInUse,
    /// The pool is neither declared nor assigned.
    UnknownPool,
    /// An assignment that does not fit the configuration in force, or contradicts itself.
    InvalidAssignment,
    /// The pool has as many unsettled former assignments as it may have.
    TooManyFormers,
    /// A settlement by a VM that is neither dispatcher nor successor.
    NotDispatcher,
    /// A checkpoint that can't be a state of this log.
    InvalidCheckpoint,
    /// The record is not above the last one applied.
    NotNewer,
    /// Records are missing before this one.
    Gap,
    /// The text is no record.
    Undecodable,
};

inline constexpr std::array<Utils::EnumName<Verdict>, 14> verdictNames { {
    { Verdict::Accepted, "accepted" },
    { Verdict::Repeat, "repeat" },
    { Verdict::StaleBase, "stale_base" },
    { Verdict::StaleToken, "stale_token" },
    { Verdict::InvalidConfiguration, "invalid_configuration" },
    { Verdict::RangeInUse, "range_in_use" },
    { Verdict::UnknownPool, "unknown_pool" },
    { Verdict::InvalidAssignment, "invalid_assignment" },
    { Verdict::TooManyFormers, "too_many_formers" },
    { Verdict::NotDispatcher, "not_dispatcher" },
    { Verdict::InvalidCheckpoint, "invalid_checkpoint" },
    { Verdict::NotNewer, "not_newer" },
    { Verdict::Gap, "gap" },
    { Verdict::Undecodable, "undecodable" },
} };

} // namespace Agreement
