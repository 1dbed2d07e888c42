#pragma once

#include <agreement/logstate.h>
#include <agreement/readerstatus.h>
#include <utils/ids.h>

namespace Agreement {

/// A reader that follows the log from its start or from a checkpoint.
struct LogReader {
    LogState state;
    ReaderStatus status = ReaderStatus::Following;
    /// Where to read next.
    Utils::Offset next = 1;

    bool operator==(const LogReader&) const = default;
};

} // namespace Agreement
