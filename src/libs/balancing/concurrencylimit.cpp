#include <balancing/concurrencylimit.h>

#include <algorithm>
#include <cmath>

namespace Balancing {

namespace Internal {

/// Queue of an upstream, in rounds of its slots, up to which the limit grows.
constexpr double shortQueue = 0.25;
/// Queue in rounds of the slots above which the limit shrinks.
constexpr double longQueue = 0.5;
/// Growth with a report of free slots, and with one of a short queue.
constexpr double freeGrowth = 1;
constexpr double queuedGrowth = 0.25;
/// Factors of the limit after a report of a long queue, and after a rejection or a missing response.
constexpr double queueFactor = 0.85;
constexpr double rejectionFactor = 0.7;
/// An unused limit would let a burst pass before the first reports of a queue.
constexpr double maxUnusedFactor = 2;

/// Even shares of all VMs fill the slots without a queue; below them slots would stay free, as most reports
/// come from upstreams that are busier than others.
double minLimit(const ConcurrencyLimit& limit) { return std::max(1.0, limit.evenShare); }

void shrink(ConcurrencyLimit& limit, double factor)
{
    limit.requests = std::max(minLimit(limit), limit.requests * factor);
}

} // namespace Internal

void updateEvenShare(ConcurrencyLimit& limit, double slots, double vmCount)
{
    limit.evenShare = slots / std::max(vmCount, 1.0);
    if (limit.requests == 0)
        limit.requests = std::max(1.0, limit.evenShare);
}

void recordReport(ConcurrencyLimit& limit, const Routing::ReportedLoad& load)
{
    const double rounds = static_cast<double>(load.waiting) / std::max(load.slots, 1U);
    if (rounds > Internal::longQueue) {
        Internal::shrink(limit, Internal::queueFactor);
        return;
    }
    if (rounds > Internal::shortQueue)
        return;
    const double growth = load.running < load.slots ? Internal::freeGrowth : Internal::queuedGrowth;
    const double ceiling = std::max(limit.evenShare, limit.inUse + 1.0) * Internal::maxUnusedFactor;
    limit.requests = std::max(Internal::minLimit(limit), std::min(limit.requests + growth, ceiling));
}

void recordLackOfRoom(ConcurrencyLimit& limit) { Internal::shrink(limit, Internal::rejectionFactor); }

unsigned maxRequests(const ConcurrencyLimit& limit, const std::optional<RoomShare>& share, Utils::Instant now)
{
    double requests = limit.requests;
    if (share && now - share->updatedAt <= maxRoomShareAge)
        requests = std::min(requests, share->slots);
    return std::max(1U, static_cast<unsigned>(std::lround(requests)));
}

} // namespace Balancing
