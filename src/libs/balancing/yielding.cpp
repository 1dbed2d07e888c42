#include <balancing/yielding.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

/// Less urgent requests yield for this long after a more urgent one has been rejected: a VM sees few requests
/// of each kind, and a burst lasts some seconds.
constexpr Utils::Duration yieldPeriod = std::chrono::seconds(8);
/// The estimated load is rarely a whole number.
constexpr double loadTolerance = 0.5;

} // namespace Internal

void recordRejectedForLoad(ServiceStats& stats, unsigned priority, Utils::Instant now)
{
    stats.rejectedAt[priority] = now;
}

bool isUrgentWorkRejected(const ServiceStats& stats, unsigned priority, Utils::Instant now)
{
    const auto end = stats.rejectedAt.lower_bound(priority);
    return std::any_of(
        stats.rejectedAt.begin(), end, [now](const std::pair<const unsigned, Utils::Instant>& rejected) {
            return now - rejected.second < Internal::yieldPeriod;
        });
}

bool mustYield(const ServiceStats& stats, unsigned priority, double load, unsigned slots, Utils::Instant now)
{
    // With the request itself and the slot kept free.
    const double maxLoad = slots > 2 ? slots - 2 : 0;
    return isUrgentWorkRejected(stats, priority, now) && load > maxLoad + Internal::loadTolerance;
}

} // namespace Balancing
