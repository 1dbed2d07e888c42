#include <balancing/decidenext.h>

namespace Balancing {

NextStep chooseFinalStep(const AttemptContext& context)
{
    if (context.outcome == AttemptOutcome::Responded || context.outcome == AttemptOutcome::ServerError)
        return NextStep::DeliverResponse;
    return hasNotRun(context.outcome) && !context.earlierAttemptMayHaveRun ? NextStep::RejectNotRun
                                                                           : NextStep::FailOutcomeUnknown;
}

NextStep decideNext(const AttemptContext& context)
{
    if (context.outcome == AttemptOutcome::Responded)
        return NextStep::DeliverResponse;
    const bool isSafeToRetry
        = context.idempotent || (hasNotRun(context.outcome) && !context.earlierAttemptMayHaveRun);
    const bool canRetry
        = context.hasOtherUpstream && context.attemptCount < context.maxAttempts && !context.responseStarted;
    if (!isSafeToRetry || !canRetry || context.timeLeft < context.expectedLatency)
        return chooseFinalStep(context);
    return NextStep::Retry;
}

} // namespace Balancing
