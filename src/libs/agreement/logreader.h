#pragma once

#include <agreement/logstate.h>
#include <agreement/readerstatus.h>
#include <utils/ids.h>

#include <cstdint>

namespace Agreement {

/// A reader that follows the log from its start or from a checkpoint.
struct LogReader {
    LogState state;
    ReaderStatus status = ReaderStatus::Following;
    /// Where to read next.
    Utils::Offset next = 1;
    /// When the log took the oldest record that a starting VM needs, in milliseconds on the log's clock: the
    /// newest checkpoint, or the first record while there is none.
    std::int64_t oldestNeededMs = 0;

    bool operator==(const LogReader&) const = default;
};

} // namespace Agreement
