#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Platform {

/// What became of a call to the store.
enum class StoreOutcome {
    Done,
    /// The partition does not end where the append expected.
    EndMoved,
    /// A writer of a later term has written, or the sequence does not follow.
    Fenced,
    /// The records asked for are no longer kept.
    Expired,
    /// Nothing was done; the store is down, throttles or refuses this VM.
    Rejected,
    /// No answer: an append may have taken effect or may yet.
    Unknown,
    /// The answer makes no sense.
    Malformed,
};

inline constexpr std::array<Utils::EnumName<StoreOutcome>, 7> storeOutcomeNames { {
    { StoreOutcome::Done, "done" },
    { StoreOutcome::EndMoved, "end_moved" },
    { StoreOutcome::Fenced, "fenced" },
    { StoreOutcome::Expired, "expired" },
    { StoreOutcome::Rejected, "refused" },
    { StoreOutcome::Unknown, "unknown" },
    { StoreOutcome::Malformed, "malformed" },
} };

} // namespace Platform
