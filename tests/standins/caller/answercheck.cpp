#include <standins/caller/answercheck.h>

#include <standins/journal/answerpattern.h>
#include <standins/journal/jsonfields.h>

#include <boost/json/parse.hpp>

#include <cstddef>

namespace StandInCaller {

namespace Internal {

/// No echo is longer.
constexpr std::size_t longestEcho = 4096;

Journal::AnswerState verdictOfEcho(const AnswerCheck& check)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(check.echo, error);
    if (error || !value.is_object())
        return Journal::AnswerState::Cut;
    const boost::json::object& echo = value.get_object();
    const bool own = Journal::stringField(echo, "request") == check.request
        && Journal::stringField(echo, "idempotency_key") == check.idempotencyKey
        && Journal::numberField<std::uint64_t>(echo, "body_digest") == check.bodyDigest;
    return own ? Journal::AnswerState::Whole : Journal::AnswerState::Foreign;
}

} // namespace Internal

void feed(AnswerCheck& check, std::span<const char> bytes)
{
    if (check.bytes > 0)
        check.matches = check.matches
            && Journal::matchesPattern(Journal::patternSeed(check.request), check.position, bytes);
    else if (check.echo.size() + bytes.size() <= Internal::longestEcho)
        check.echo.append(bytes.begin(), bytes.end());
    check.position += bytes.size();
}

Journal::AnswerState verdictOf(const AnswerCheck& check)
{
    if (check.bytes == 0)
        return Internal::verdictOfEcho(check);
    if (!check.matches || check.position > check.bytes)
        return Journal::AnswerState::Foreign;
    return check.position == check.bytes ? Journal::AnswerState::Whole : Journal::AnswerState::Cut;
}

} // namespace StandInCaller
