#include <balancing/upstreamreach.h>

namespace Balancing {

namespace Internal {

void changeState(UpstreamReach& reach, ReachState state, Utils::Instant now)
{
    reach.state = state;
    reach.changedAt = now;
    reach.failedProbes = 0;
}

} // namespace Internal

bool recordConnected(UpstreamReach& reach, Utils::Instant now)
{
    const bool wasLost = reach.state == ReachState::Lost;
    reach.connectedAt = now;
    reach.failures.clear();
    if (reach.state != ReachState::Reaching)
        Internal::changeState(reach, ReachState::Reaching, now);
    return wasLost;
}

void recordLinkFailure(
    UpstreamReach& reach, const Utils::UpstreamId& upstream, Utils::Instant startedAt, Utils::Instant now)
{
    if (startedAt < reach.connectedAt || reach.state == ReachState::Lost)
        return;
    std::erase_if(reach.failures, [now](const std::pair<const Utils::UpstreamId, Utils::Instant>& failure) {
        return now - failure.second > failureRetention;
    });
    reach.failures[upstream] = now;
    if (reach.state == ReachState::Reaching && reach.failures.size() >= failuresToSuspect)
        Internal::changeState(reach, ReachState::Suspected, now);
}

std::size_t startProbes(UpstreamReach& reach, Utils::Instant now)
{
    if (reach.state == ReachState::Reaching)
        return 0;
    const bool isLost = reach.state == ReachState::Lost;
    if (now - reach.probedAt < (isLost ? lostProbeInterval : suspicionInterval))
        return 0;
    reach.probedAt = now;
    return isLost ? 1 : probesToConfirm;
}

bool recordProbeFailed(UpstreamReach& reach, Utils::Instant startedAt, Utils::Instant now)
{
    if (reach.state != ReachState::Suspected || startedAt < reach.connectedAt)
        return false;
    if (++reach.failedProbes < probesToConfirm)
        return false;
    Internal::changeState(reach, ReachState::Lost, now);
    return true;
}

} // namespace Balancing
