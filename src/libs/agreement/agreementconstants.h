#pragma once

#include <cstddef>
#include <cstdint>

namespace Agreement {

/// Version of the record format and of the rules that judge records.
inline constexpr std::uint64_t recordVersion = 1;
/// Largest record that the log service takes.
inline constexpr std::size_t maxRecordBytes = std::size_t(1) << 20;
/// Longest name of any object in a record.
inline constexpr std::size_t maxNameBytes = 256;
/// Writers whose last sequence is remembered; the one that has been silent longest is forgotten first.
inline constexpr std::size_t maxWriters = 1024;
/// Unsettled former assignments of a pool.
inline constexpr std::size_t maxFormers = 64;
/// Part of the retention, as its divisor, after which a new checkpoint is due.
inline constexpr unsigned checkpointsPerRetention = 4;
/// Records after a checkpoint that make the next one due whatever its age.
inline constexpr std::uint64_t maxRecordsSinceCheckpoint = 5000;

} // namespace Agreement
