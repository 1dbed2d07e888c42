#include <balancing/decidenext.h>

namespace Balancing {

NextStep giveUp(const AttemptFacts& facts)
{
    if (facts.end == AttemptEnd::Answered || facts.end == AttemptEnd::ServerFailure)
        return NextStep::Deliver;
    return isNotRun(facts.end) && !facts.mayHaveRun ? NextStep::RefuseNotRun : NextStep::FailUnknown;
}

NextStep decideNext(const AttemptFacts& facts)
{
    if (facts.end == AttemptEnd::Answered)
        return NextStep::Deliver;
    const bool harmless = facts.idempotent || (isNotRun(facts.end) && !facts.mayHaveRun);
    const bool possible = facts.hasOther && facts.sent < facts.maxAttempts && !facts.answerBegun;
    if (!harmless || !possible || facts.timeLeft < facts.expected)
        return giveUp(facts);
    return NextStep::TryAgain;
}

} // namespace Balancing
