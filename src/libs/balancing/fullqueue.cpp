#include <balancing/fullqueue.h>
#include <balancing/loadmodel.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

/// After this time without another request left unanswered, longer queues are tried again.
constexpr Utils::Duration evidencePeriod = std::chrono::seconds(30);

double maxLoad(const ServiceStats& stats, unsigned slots)
{
    return slots + std::max<double>(stats.longestServedQueue, 1);
}

} // namespace Internal

void recordServedQueue(ServiceStats& stats, unsigned waiting)
{
    stats.longestServedQueue = std::max(stats.longestServedQueue, waiting);
}

bool recordUnanswered(
    UpstreamLoad& load, ServiceStats& stats, unsigned slots, Utils::Instant sentAt, Utils::Instant now)
{
    const bool hasServedLater = load.lastAnsweredSentAt > sentAt;
    if (!hasServedLater || estimateLoad(load, stats, now) < slots)
        return false;
    stats.leftUnansweredAt = now;
    load.fullUntil = now + stats.serviceTime;
    return true;
}

bool isBelievedFull(const UpstreamLoad& load, const ServiceStats& stats, unsigned slots, Utils::Instant now)
{
    if (now < load.fullUntil)
        return true;
    const bool leavesRequests = stats.leftUnansweredAt != Utils::Instant {}
        && now - stats.leftUnansweredAt < Internal::evidencePeriod;
    return leavesRequests && estimateLoad(load, stats, now) >= Internal::maxLoad(stats, slots);
}

Utils::Duration timeToRoom(
    const UpstreamLoad& load, const ServiceStats& stats, unsigned slots, Utils::Instant now)
{
    const double excess = std::max(estimateLoad(load, stats, now) - Internal::maxLoad(stats, slots) + 1, 1.0);
    const Utils::Duration byQueue(static_cast<std::int64_t>(
        static_cast<double>(stats.serviceTime.count()) * excess / std::max(slots, 1U)));
    return std::max(byQueue, load.fullUntil - now);
}

} // namespace Balancing
