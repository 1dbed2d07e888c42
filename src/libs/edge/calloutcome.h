#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// What became of an HTTP call of this VM's own.
enum class CallOutcome {
    Responded,
    /// The connection was refused.
    ConnectionRefused,
    /// No connection in time, or none could be made: nothing was sent.
    NotConnected,
    /// Sent, and the connection broke or the answer made no sense.
    NoValidResponse,
    /// Sent, and no answer in time.
    TimedOut,
};

inline constexpr std::array<Utils::EnumName<CallOutcome>, 5> callOutcomeNames { {
    { CallOutcome::Responded, "answered" },
    { CallOutcome::ConnectionRefused, "connection_refused" },
    { CallOutcome::NotConnected, "not_connected" },
    { CallOutcome::NoValidResponse, "broken" },
    { CallOutcome::TimedOut, "timed_out" },
} };

} // namespace Edge
