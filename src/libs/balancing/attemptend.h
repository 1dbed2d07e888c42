#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// How one attempt at an upstream ended.
enum class AttemptEnd {
    /// A whole answer with a status below 500.
    Answered,
    /// A whole answer that reports a failure of the upstream; the request counts as run.
    ServerFailure,
    /// The upstream says that it did not run the request because it has no room.
    Refused,
    /// The upstream says that it did not run the request because it does not hold its key, or is another one.
    Misdirected,
    /// No connection: nothing was sent.
    NotConnected,
    /// The connection broke before the whole answer had come.
    Broken,
    /// The bytes that came are no answer.
    Garbled,
    /// No answer within the attempt's time.
    TimedOut,
};

inline constexpr std::array<Utils::EnumName<AttemptEnd>, 8> attemptEndNames { {
    { AttemptEnd::Answered, "answered" },
    { AttemptEnd::ServerFailure, "server_failure" },
    { AttemptEnd::Refused, "refused" },
    { AttemptEnd::Misdirected, "misdirected" },
    { AttemptEnd::NotConnected, "not_connected" },
    { AttemptEnd::Broken, "broken" },
    { AttemptEnd::Garbled, "garbled" },
    { AttemptEnd::TimedOut, "timed_out" },
} };

/// Whether the request certainly did not run at that upstream.
constexpr bool isNotRun(AttemptEnd end)
{
    return end == AttemptEnd::Refused || end == AttemptEnd::Misdirected || end == AttemptEnd::NotConnected;
}

} // namespace Balancing
