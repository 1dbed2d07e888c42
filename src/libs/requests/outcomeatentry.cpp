#include <requests/outcomeatentry.h>

namespace Requests {

Outcome outcomeAtEntry(Reason reason, bool idempotent, unsigned attempt)
{
    const Outcome outcome = outcomeOf(reason);
    if (outcome != Outcome::NotRun || idempotent || attempt <= 1)
        return outcome;
    return Outcome::Unknown;
}

} // namespace Requests
