#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Agreement {

/// How a reader of the log stands.
enum class ReaderStatus {
    /// Records that it needs are gone; its state does not move until a checkpoint covers them.
    NeedsCheckpoint,
    /// Its state follows the log.
    Following,
};

inline constexpr std::array<Utils::EnumName<ReaderStatus>, 2> readerStatusNames { {
    { ReaderStatus::NeedsCheckpoint, "needs_checkpoint" },
    { ReaderStatus::Following, "following" },
} };

} // namespace Agreement
