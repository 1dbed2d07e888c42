#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Edge {

/// Outcome of an HTTP call made by this VM.
enum class CallOutcome {
    Responded,
    /// The connection was refused.
    ConnectionRefused,
    /// The connection could not be established, or not in time: nothing was sent.
    NotConnected,
    /// The request was sent; the connection was lost or the response was malformed.
    NoValidResponse,
    /// The request was sent; the response did not arrive in time.
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
