#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Commands {

/// What became of a configuration that was published.
enum class PublishOutcome {
    /// It is, or for a moment was, the configuration in force.
    Accepted,
    /// Another configuration was accepted since the base; nothing changed.
    Conflict,
    /// It gives other keys to a range that assignments still name; nothing changed.
    RangeInUse,
    /// The log's rules refuse it; nothing changed.
    Refused,
    /// The log does not take a record of its size; nothing changed.
    TooLarge,
    /// No append reached the log; nothing changed.
    NotAppended,
    /// An append may have reached the log, and its verdict was not read in time.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<PublishOutcome>, 7> publishOutcomeNames { {
    { PublishOutcome::Accepted, "accepted" },
    { PublishOutcome::Conflict, "conflict" },
    { PublishOutcome::RangeInUse, "range_in_use" },
    { PublishOutcome::Refused, "refused" },
    { PublishOutcome::TooLarge, "too_large" },
    { PublishOutcome::NotAppended, "not_appended" },
    { PublishOutcome::Unknown, "unknown" },
} };

} // namespace Commands
