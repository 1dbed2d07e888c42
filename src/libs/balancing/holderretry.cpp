#include <balancing/holderretry.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

/// Part of the time left that the queue may take, as others add to it before the retry arrives.
constexpr double maxQueueTimeShare = 0.5;

} // namespace Internal

bool isHolderRetryWorthwhile(const HolderRejection& rejection)
{
    if (!rejection.reportedLoad || (rejection.hasMoreUrgentRejections && !rejection.hasAmpleBudget))
        return false;
    const Routing::ReportedLoad& load = *rejection.reportedLoad;
    const double workFactor = load.workFactor.value_or(1);
    const unsigned slots = std::max(load.slots, 1U);
    // A request finds a slot free at once, or waits until those before it have had theirs.
    const unsigned ahead = load.running < slots ? load.waiting : load.waiting + 1;
    const std::chrono::duration<double> queueTime
        = std::chrono::duration<double>(rejection.serviceTime) * workFactor * ahead / slots;
    const std::chrono::duration<double> left(rejection.timeLeft);
    return queueTime <= left * Internal::maxQueueTimeShare
        && queueTime + rejection.unloadedLatency * workFactor <= left;
}

} // namespace Balancing
