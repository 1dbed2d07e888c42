#include <balancing/decidenext.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

struct Row {
    const char* name;
    AttemptEnd end;
    bool idempotent;
    bool mayHaveRun;
    bool begun;
    unsigned sent;
    bool other;
    Utils::Duration left;
    NextStep step;
};

} // namespace

TEST_CASE("Only what can't run twice is repeated", "[decidenext]")
{
    using enum AttemptEnd;
    using enum NextStep;
    const Row row = GENERATE(values<Row>({
        { "answer", Answered, false, true, false, 1, true, 1s, Deliver },
        { "refused, unsafe", Refused, false, false, false, 1, true, 1s, TryAgain },
        { "refused, unsafe, ran before", Refused, false, true, false, 1, true, 1s, FailUnknown },
        { "refused, no other", Refused, true, false, false, 1, false, 1s, RefuseNotRun },
        { "refused, attempts used up", Refused, true, false, false, 2, true, 1s, RefuseNotRun },
        { "refused, no time", Refused, true, false, false, 1, true, 100ms, RefuseNotRun },
        { "refused, idempotent, ran before, no other", Refused, true, true, false, 1, false, 1s,
            FailUnknown },
        { "not connected, unsafe", NotConnected, false, false, false, 1, true, 1s, TryAgain },
        { "misdirected, unsafe", Misdirected, false, false, false, 1, true, 1s, TryAgain },
        { "broken, unsafe", Broken, false, true, false, 1, true, 1s, FailUnknown },
        { "broken, idempotent", Broken, true, true, false, 1, true, 1s, TryAgain },
        { "broken, idempotent, answer begun", Broken, true, true, true, 1, true, 1s, FailUnknown },
        { "garbled, unsafe", Garbled, false, true, false, 1, true, 1s, FailUnknown },
        { "silent, unsafe", TimedOut, false, true, false, 1, true, 1s, FailUnknown },
        { "silent, idempotent", TimedOut, true, true, false, 1, true, 1s, TryAgain },
        { "failure, unsafe", ServerFailure, false, true, false, 1, true, 1s, Deliver },
        { "failure, idempotent", ServerFailure, true, true, false, 1, true, 1s, TryAgain },
        { "failure, idempotent, no time", ServerFailure, true, true, false, 1, true, 100ms, Deliver },
    }));
    INFO(row.name);
    AttemptFacts facts;
    facts.end = row.end;
    facts.idempotent = row.idempotent;
    facts.mayHaveRun = row.mayHaveRun;
    facts.answerBegun = row.begun;
    facts.sent = row.sent;
    facts.maxAttempts = 2;
    facts.hasOther = row.other;
    facts.timeLeft = row.left;
    facts.expected = 160ms;
    CHECK(decideNext(facts) == row.step);
    CHECK(giveUp(facts) != NextStep::TryAgain);
}
