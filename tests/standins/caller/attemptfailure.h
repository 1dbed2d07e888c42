#pragma once

#include <utils/enumtable.h>

#include <array>

namespace StandInCaller {

/// How a sending failed without an answer.
enum class AttemptFailure {
    /// No connection; nothing was sent.
    ConnectFailed,
    /// The connection broke before any answer.
    ConnectionLost,
    /// Nothing came in time.
    NoAnswer,
    /// The connection broke within the answer.
    AnswerBroken,
};

inline constexpr std::array<Utils::EnumName<AttemptFailure>, 4> attemptFailureNames { {
    { AttemptFailure::ConnectFailed, "connect_failed" },
    { AttemptFailure::ConnectionLost, "connection_lost" },
    { AttemptFailure::NoAnswer, "no_answer" },
    { AttemptFailure::AnswerBroken, "answer_broken" },
} };

} // namespace StandInCaller
