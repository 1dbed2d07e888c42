#pragma once

#include <standins/journal/answerstate.h>
#include <standins/journal/callerevent.h>

#include <requests/outcome.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Journal {

/// One row of a caller's journal.
struct CallerRow {
    /// Wall clock in microseconds.
    std::int64_t at = 0;
    CallerEvent event = CallerEvent::Offered;
    /// The caller's number of the request, unique over all journals that are compared.
    std::string request;
    /// Number of the sending; on a final row the number of sendings.
    unsigned attempt = 0;
    std::string entry;
    std::string method;
    std::string path;
    std::string rank;
    std::string caller;
    std::string idempotencyKey;
    Requests::Outcome outcome = Requests::Outcome::Unknown;
    std::string reason;
    unsigned status = 0;
    AnswerState answer = AnswerState::None;
    /// Attempt: since it was sent. Final: since the request was due. In microseconds.
    std::int64_t latency = 0;
    /// How long after it was due the request was first sent, in microseconds.
    std::int64_t late = 0;

    bool operator==(const CallerRow&) const = default;
};

boost::json::object toJson(const CallerRow& row);

/// The row that \a object tells; nothing when it isn't one.
std::optional<CallerRow> callerRowFrom(const boost::json::object& object);

} // namespace Journal
