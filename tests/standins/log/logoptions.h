#pragma once

#include <cstddef>
#include <cstdint>

namespace StandInLog {

/// What the log keeps.
struct LogOptions {
    /// Age at which a record goes, in milliseconds.
    std::int64_t retentionMs = 24LL * 3600 * 1000;
    /// Most records kept of a stream.
    std::size_t retentionCount = 1000000;
    std::size_t maxRecordBytes = std::size_t(1) << 20;
};

} // namespace StandInLog
