#include <standins/caller/nextstep.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

namespace {

using Requests::Outcome;
using StandInCaller::AttemptFailure;
using StandInCaller::AttemptResult;

AttemptResult told(Outcome outcome, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt)
{
    AttemptResult result;
    result.outcome = outcome;
    result.retryAfter = retryAfter;
    return result;
}

struct StepCase {
    std::string name;
    std::vector<AttemptResult> results;
    unsigned repeats;
    /// Of the last result.
    bool repeated;
    Outcome finalOutcome;
};

const std::vector<StepCase> stepCases {
    { "done ends it", { told(Outcome::Done) }, 5, false, Outcome::Done },
    { "not run comes back when told", { told(Outcome::NotRun, std::chrono::milliseconds(30)) }, 5, true,
        Outcome::NotRun },
    { "not run for good", { told(Outcome::NotRun) }, 5, false, Outcome::NotRun },
    { "not run, no repeat left", { told(Outcome::NotRun, std::chrono::milliseconds(30)) }, 0, false,
        Outcome::NotRun },
    { "unknown is repeated", { told(Outcome::Unknown) }, 5, true, Outcome::Unknown },
    { "no connection is repeated", { resultFromFailure(AttemptFailure::ConnectFailed) }, 5, true,
        Outcome::NotRun },
    { "a lost connection may have run", { resultFromFailure(AttemptFailure::ConnectionLost) }, 0, false,
        Outcome::Unknown },
    { "not run after unknown stays unknown", { told(Outcome::Unknown), told(Outcome::NotRun) }, 5, false,
        Outcome::Unknown },
    { "done after unknown is done", { told(Outcome::Unknown), told(Outcome::Done) }, 5, false,
        Outcome::Done },
};

} // namespace

TEST_CASE("a caller repeats what may be repeated and sums up what it was told", "[nextstep]")
{
    const StepCase row = GENERATE(from_range(stepCases));
    INFO(row.name);
    StandInCaller::RequestHistory history;
    StandInCaller::NextStep step;
    for (const AttemptResult& result : row.results)
        step = StandInCaller::nextStep(history, result, row.repeats);
    REQUIRE(step.repeatAfter.has_value() == row.repeated);
    REQUIRE(step.result.outcome == row.finalOutcome);
}
