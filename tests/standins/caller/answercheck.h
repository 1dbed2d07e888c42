#pragma once

#include <standins/journal/answerstate.h>

#include <cstdint>
#include <span>
#include <string>

namespace StandInCaller {

/// What an answer must be, and how far it has been so.
struct AnswerCheck {
    /// The request's number, as its answer must name it or be seeded by it.
    std::string request;
    std::string idempotencyKey;
    std::uint64_t bodyDigest = 0;
    /// Bytes of pattern expected; 0 expects the echo.
    std::uint64_t bytes = 0;
    std::uint64_t position = 0;
    bool matches = true;
    /// The echo as far as it was read.
    std::string echo;
};

/// Takes the next bytes of the body.
void feed(AnswerCheck& check, std::span<const char> bytes);

/// The verdict at the end of a complete message.
Journal::AnswerState verdictOf(const AnswerCheck& check);

} // namespace StandInCaller
