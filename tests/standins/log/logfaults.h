#pragma once

#include <standins/support/faulttable.h>

#include <array>
#include <cstdint>

namespace StandInLog {

/// The faults that can be switched on. Those named "next" count down by one with each request that they hit.
struct LogFaults {
    /// Every append and read gets 503.
    std::uint64_t outage = 0;
    /// Time added to every answer, in milliseconds.
    std::uint64_t slowMs = 0;
    /// Appends that take effect and whose connection is then closed.
    std::uint64_t loseAnswerNext = 0;
    /// Appends whose connection is closed without effect.
    std::uint64_t loseRequestNext = 0;
    /// Newest records that reads don't show.
    std::uint64_t lagRecords = 0;
    /// Answers that are no JSON.
    std::uint64_t malformedNext = 0;
    /// Answers that break off.
    std::uint64_t truncateNext = 0;
    /// Answers that are longer than a client should read.
    std::uint64_t overlongNext = 0;
    /// Reads that leave out a record.
    std::uint64_t skipRecordNext = 0;
};

inline constexpr std::array<StandInSupport::FaultField<LogFaults>, 9> logFaultTable { {
    { "outage", &LogFaults::outage },
    { "slow_ms", &LogFaults::slowMs },
    { "lose_answer_next", &LogFaults::loseAnswerNext },
    { "lose_request_next", &LogFaults::loseRequestNext },
    { "lag_records", &LogFaults::lagRecords },
    { "malformed_next", &LogFaults::malformedNext },
    { "truncate_next", &LogFaults::truncateNext },
    { "overlong_next", &LogFaults::overlongNext },
    { "skip_record_next", &LogFaults::skipRecordNext },
} };

} // namespace StandInLog
