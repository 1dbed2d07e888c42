#include <balancing/admission.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

/// Callers wait at most this part of the time that they have left; the users' protocol page.
constexpr int waitingShare = 3;
constexpr Utils::Duration shortestWait = std::chrono::milliseconds(50);

Utils::Duration spread(Utils::Duration wait, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1024;
    return wait + wait * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps) / 2;
}

} // namespace Internal

AdmissionDecision admit(const AdmissionContext& facts)
{
    const bool onTime = facts.expectedLatency <= facts.timeToTarget;
    const bool possible = facts.expectedLatency <= facts.timeLeft;
    if (onTime || (possible && facts.isCallerRetry))
        return {};
    const Utils::Duration excess
        = std::max(facts.expectedLatency - facts.unloadedLatency, Internal::shortestWait);
    const Utils::Duration wait
        = std::min(Internal::spread(excess, facts.seed), facts.timeLeft / Internal::waitingShare);
    const bool canReturn = facts.timeLeft - wait > facts.unloadedLatency + facts.unloadedLatency / 2;
    if (possible && !canReturn)
        return {};
    return { false, std::max(wait, Internal::shortestWait) };
}

} // namespace Balancing
