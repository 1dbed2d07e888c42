#pragma once

#include <cstddef>

namespace LogService {

/// Largest record that the log service takes.
inline constexpr std::size_t maxRecordBytes = std::size_t(1) << 20;
/// Largest answer that is read; a record at its limit fits, escaped.
inline constexpr std::size_t maxAnswerBytes = std::size_t(8) << 20;
/// Largest header of an answer.
inline constexpr std::size_t maxAnswerHeaderBytes = std::size_t(8) << 10;
/// Most records of one answer.
inline constexpr std::size_t maxRecordsPerRead = 1000;
/// Most entries of the VM list.
inline constexpr std::size_t maxVms = 10000;
/// Longest name of a stream, VM, zone or region.
inline constexpr std::size_t maxNameBytes = 256;

} // namespace LogService
