#include <standins/caller/attemptresult.h>

#include <charconv>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace StandInCaller {

namespace Internal {

constexpr unsigned firstErrorStatus = 400;
constexpr std::string_view noOutcome = "no_outcome";

std::string header(const boost::beast::http::fields& head, std::string_view name)
{
    const boost::beast::http::fields::const_iterator found = head.find(name);
    if (found == head.end())
        return {};
    return std::string(found->value());
}

std::optional<std::chrono::milliseconds> retryAfterFrom(const boost::beast::http::fields& head)
{
    const std::string text = header(head, "Retry-After-Ms");
    std::int64_t count = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), count);
    if (text.empty() || result.ec != std::errc())
        return std::nullopt;
    return std::chrono::milliseconds(count);
}

void takeDirectOutcome(AttemptResult& result, const boost::beast::http::fields& head)
{
    result.reason = header(head, "Not-Run");
    if (!result.reason.empty())
        result.outcome = Requests::Outcome::NotRun;
    else if (result.status < firstErrorStatus)
        result.outcome = Requests::Outcome::Done;
}

void takeOutcome(AttemptResult& result, const boost::beast::http::fields& head)
{
    const std::optional<Requests::Outcome> outcome
        = Utils::enumFromName(Requests::outcomeNames, header(head, "Outcome"));
    result.outcome = outcome.value_or(Requests::Outcome::Unknown);
    result.reason = outcome ? header(head, "Reason") : std::string(noOutcome);
}

} // namespace Internal

AttemptResult resultFromHead(const boost::beast::http::fields& head, unsigned status, bool direct)
{
    AttemptResult result;
    result.status = status;
    result.retryAfter = Internal::retryAfterFrom(head);
    if (direct)
        Internal::takeDirectOutcome(result, head);
    else
        Internal::takeOutcome(result, head);
    return result;
}

AttemptResult resultFromFailure(AttemptFailure failure)
{
    AttemptResult result;
    result.reason = Utils::enumName(attemptFailureNames, failure);
    result.entryFailed = true;
    if (failure == AttemptFailure::ConnectFailed)
        result.outcome = Requests::Outcome::NotRun;
    if (failure == AttemptFailure::AnswerBroken)
        result.answer = Journal::AnswerState::Broken;
    return result;
}

} // namespace StandInCaller
