#include <balancing/decidenext.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

struct Row {
    const char* name;
    AttemptOutcome end;
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
        { "answer", Responded, false, true, false, 1, true, 1s, DeliverResponse },
        { "refused, unsafe", Rejected, false, false, false, 1, true, 1s, Retry },
        { "refused, unsafe, ran before", Rejected, false, true, false, 1, true, 1s, FailOutcomeUnknown },
        { "refused, no other", Rejected, true, false, false, 1, false, 1s, RejectNotRun },
        { "refused, attempts used up", Rejected, true, false, false, 2, true, 1s, RejectNotRun },
        { "refused, no time", Rejected, true, false, false, 1, true, 100ms, RejectNotRun },
        { "refused, idempotent, ran before, no other", Rejected, true, true, false, 1, false, 1s,
            FailOutcomeUnknown },
        { "not connected, unsafe", NotConnected, false, false, false, 1, true, 1s, Retry },
        { "misdirected, unsafe", Misdirected, false, false, false, 1, true, 1s, Retry },
        { "broken, unsafe", ConnectionLost, false, true, false, 1, true, 1s, FailOutcomeUnknown },
        { "broken, idempotent", ConnectionLost, true, true, false, 1, true, 1s, Retry },
        { "broken, idempotent, answer begun", ConnectionLost, true, true, true, 1, true, 1s,
            FailOutcomeUnknown },
        { "garbled, unsafe", MalformedResponse, false, true, false, 1, true, 1s, FailOutcomeUnknown },
        { "silent, unsafe", TimedOut, false, true, false, 1, true, 1s, FailOutcomeUnknown },
        { "silent, idempotent", TimedOut, true, true, false, 1, true, 1s, Retry },
        { "failure, unsafe", ServerError, false, true, false, 1, true, 1s, DeliverResponse },
        { "failure, idempotent", ServerError, true, true, false, 1, true, 1s, Retry },
        { "failure, idempotent, no time", ServerError, true, true, false, 1, true, 100ms, DeliverResponse },
    }));
    INFO(row.name);
    AttemptContext facts;
    facts.outcome = row.end;
    facts.idempotent = row.idempotent;
    facts.earlierAttemptMayHaveRun = row.mayHaveRun;
    facts.responseStarted = row.begun;
    facts.attemptCount = row.sent;
    facts.maxAttempts = 2;
    facts.hasOtherUpstream = row.other;
    facts.timeLeft = row.left;
    facts.expectedLatency = 160ms;
    CHECK(decideNext(facts) == row.step);
    CHECK(chooseFinalStep(facts) != NextStep::Retry);
}
