#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// How one attempt at an upstream ended.
enum class AttemptOutcome {
    /// A whole answer with a status below 500.
    Responded,
    /// A whole answer that reports a failure of the upstream; the request counts as run.
    ServerError,
    /// The upstream says that it did not run the request because it has no room.
    Rejected,
    /// The upstream says that it did not run the request because it does not hold its key, or is another one.
    Misdirected,
    /// No connection: nothing was sent.
    NotConnected,
    /// The connection broke before the whole answer had come.
    ConnectionLost,
    /// The bytes that came are no answer.
    MalformedResponse,
    /// No answer within the attempt's time.
    TimedOut,
};

inline constexpr std::array<Utils::EnumName<AttemptOutcome>, 8> attemptOutcomeNames { {
    { AttemptOutcome::Responded, "answered" },
    { AttemptOutcome::ServerError, "server_failure" },
    { AttemptOutcome::Rejected, "refused" },
    { AttemptOutcome::Misdirected, "misdirected" },
    { AttemptOutcome::NotConnected, "not_connected" },
    { AttemptOutcome::ConnectionLost, "broken" },
    { AttemptOutcome::MalformedResponse, "garbled" },
    { AttemptOutcome::TimedOut, "timed_out" },
} };

/// Whether the request certainly did not run at that upstream.
constexpr bool hasNotRun(AttemptOutcome end)
{
    return end == AttemptOutcome::Rejected || end == AttemptOutcome::Misdirected
        || end == AttemptOutcome::NotConnected;
}

} // namespace Balancing
