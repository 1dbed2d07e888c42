#pragma once

#include <standins/log/logoptions.h>
#include <standins/log/storedrecord.h>

#include <cstdint>
#include <deque>
#include <string>

namespace StandInLog {

/// One stream: its records from the oldest kept on.
struct LogStream {
    /// Offset of the next record.
    std::uint64_t end = 1;
    std::deque<StoredRecord> records;
};

/// Adds a record; its offset.
std::uint64_t addRecord(LogStream& stream, const std::string& data, std::int64_t nowMs);

/// Drops what is older or more than \a options keep.
void expireRecords(LogStream& stream, const LogOptions& options, std::int64_t nowMs);

/// The oldest offset kept; the end of an empty stream.
std::uint64_t firstOffset(const LogStream& stream);

} // namespace StandInLog
