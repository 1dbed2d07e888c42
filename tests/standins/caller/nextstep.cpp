#include <standins/caller/nextstep.h>

#include <algorithm>

namespace StandInCaller {

namespace Internal {

constexpr std::chrono::milliseconds failureBackoff { 20 };
constexpr std::chrono::milliseconds unknownBackoff { 100 };
constexpr std::chrono::milliseconds longestWait { 5'000 };

std::optional<std::chrono::milliseconds> waitAfter(const AttemptResult& result)
{
    if (result.outcome == Requests::Outcome::Done)
        return std::nullopt;
    if (result.entryFailed)
        return failureBackoff;
    if (result.retryAfter)
        return std::min(*result.retryAfter, longestWait);
    if (result.outcome == Requests::Outcome::Unknown)
        return unknownBackoff;
    return std::nullopt;
}

/// What the request as a whole came to.
AttemptResult finalResult(const RequestHistory& history, AttemptResult last)
{
    if (last.outcome == Requests::Outcome::Done)
        return last;
    if (history.mayHaveRun)
        last.outcome = Requests::Outcome::Unknown;
    if (history.brokeOff)
        last.answer = Journal::AnswerState::Broken;
    return last;
}

} // namespace Internal

NextStep nextStep(RequestHistory& history, const AttemptResult& result, unsigned repeats)
{
    ++history.attempts;
    history.mayHaveRun = history.mayHaveRun || result.outcome == Requests::Outcome::Unknown;
    history.brokeOff = history.brokeOff || result.answer == Journal::AnswerState::Broken;
    NextStep step;
    if (history.attempts <= repeats)
        step.repeatAfter = Internal::waitAfter(result);
    step.result = Internal::finalResult(history, result);
    return step;
}

} // namespace StandInCaller
