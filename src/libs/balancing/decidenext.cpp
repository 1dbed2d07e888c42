#include <balancing/decidenext.h>

namespace Balancing {

NextStep chooseFinalStep(const AttemptContext& facts)
{
    if (facts.outcome == AttemptOutcome::Responded || facts.outcome == AttemptOutcome::ServerError)
        return NextStep::DeliverResponse;
    return hasNotRun(facts.outcome) && !facts.earlierAttemptMayHaveRun ? NextStep::RejectNotRun
                                                                       : NextStep::FailOutcomeUnknown;
}

NextStep decideNext(const AttemptContext& facts)
{
    if (facts.outcome == AttemptOutcome::Responded)
        return NextStep::DeliverResponse;
    const bool harmless = facts.idempotent || (hasNotRun(facts.outcome) && !facts.earlierAttemptMayHaveRun);
    const bool possible
        = facts.hasOtherUpstream && facts.attemptCount < facts.maxAttempts && !facts.responseStarted;
    if (!harmless || !possible || facts.timeLeft < facts.expectedLatency)
        return chooseFinalStep(facts);
    return NextStep::Retry;
}

} // namespace Balancing
