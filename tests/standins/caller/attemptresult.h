#pragma once

#include <standins/caller/attemptfailure.h>
#include <standins/journal/answerstate.h>

#include <requests/outcome.h>

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace StandInCaller {

/// What one sending came to.
struct AttemptResult {
    Requests::Outcome outcome = Requests::Outcome::Unknown;
    /// The system's reason, or the name of an AttemptFailure.
    std::string reason;
    unsigned status = 0;
    Journal::AnswerState answer = Journal::AnswerState::None;
    /// When to come back, if the answer says so.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Whether the entry VM itself failed to answer.
    bool entryFailed = false;

    bool operator==(const AttemptResult&) const = default;
};

/// Reads the head of an answer. \a direct reads an upstream's answer, which has no outcome.
AttemptResult resultFromHead(const boost::beast::http::fields& head, unsigned status, bool direct);

AttemptResult resultFromFailure(AttemptFailure failure);

} // namespace StandInCaller
