#include <balancing/decidenext.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

struct Row {
    const char* name;
    AttemptOutcome outcome;
    bool idempotent;
    bool earlierAttemptMayHaveRun;
    bool responseStarted;
    unsigned attemptCount;
    bool hasOtherUpstream;
    Utils::Duration timeLeft;
    NextStep step;
};

} // namespace

TEST_CASE("Only a request that is idempotent or has certainly not run is retried", "[decidenext]")
{
    using enum AttemptOutcome;
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
    AttemptContext context;
    context.outcome = row.outcome;
    context.idempotent = row.idempotent;
    context.earlierAttemptMayHaveRun = row.earlierAttemptMayHaveRun;
    context.responseStarted = row.responseStarted;
    context.attemptCount = row.attemptCount;
    context.maxAttempts = 2;
    context.hasOtherUpstream = row.hasOtherUpstream;
    context.timeLeft = row.timeLeft;
    context.expectedLatency = 160ms;
    CHECK(decideNext(context) == row.step);
    CHECK(chooseFinalStep(context) != NextStep::Retry);
}
