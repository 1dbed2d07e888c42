#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Platform {

/// Outcome of a call to the store.
enum class StoreOutcome {
    Done,
    /// The append was not executed: the partition does not end at the expected offset.
    EndMoved,
    /// The append was not executed: a writer with a later term has written, or the sequence number is not the
    /// next one.
    Fenced,
    /// The requested records are no longer retained.
    Expired,
    /// The call was not executed: the store is down, throttles requests or rejects this VM.
    Rejected,
    /// There was no response: an append may have taken effect or may still do so.
    Unknown,
    /// The response could not be interpreted.
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
