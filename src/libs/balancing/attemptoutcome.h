#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// Outcome of one attempt at an upstream.
enum class AttemptOutcome {
    /// A complete response with a status below 500.
    Responded,
    /// A complete response that reports a failure of the upstream; the request is considered to have run.
    ServerError,
    /// The upstream reports that it did not run the request because it has no capacity.
    Rejected,
    /// The upstream reports that it did not run the request because it does not hold the requested key, or
    /// because it is not the upstream that was addressed.
    Misdirected,
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// The received bytes are not a valid response.
    MalformedResponse,
    /// No response within the timeout of the attempt.
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

/// Whether the request certainly did not run at the upstream.
constexpr bool hasNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Rejected || outcome == AttemptOutcome::Misdirected
        || outcome == AttemptOutcome::NotConnected;
}

} // namespace Balancing
