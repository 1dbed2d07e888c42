#include <balancing/requestlimit.h>

#include <algorithm>
#include <cmath>

namespace Balancing {

namespace Internal {

/// Share of the bound that all shareholders together reach if they send at the same time.
constexpr double usedBoundShare = 0.9;
/// Share of the limit that is used over time. The margin allows for VMs that count each other differently.
constexpr double usedRateShare = 0.85;
/// An upstream that takes no requests still gets some, as only its responses tell when the limit ends.
constexpr double minRequestsPerSecond = 0.25;
constexpr Utils::Duration maxInterval = std::chrono::minutes(1);
constexpr Utils::Duration minRetryDelay = std::chrono::milliseconds(300);

/// Requests that all shareholders together may send in one window.
double usedBound(double perSecond, const RequestBound& bound)
{
    const double seconds = std::chrono::duration<double>(bound.window).count();
    return (bound.excessFactor * perSecond * seconds + bound.excessRequests) * usedBoundShare;
}

} // namespace Internal

double hashFraction(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

std::size_t countShareholders(double perSecond, const RequestBound& bound, std::size_t vmCount)
{
    const double most = std::min(Internal::usedBound(perSecond, bound), static_cast<double>(vmCount));
    return std::max<std::size_t>(static_cast<std::size_t>(most), 1);
}

bool isAmongShareholders(const RequestLimit& limit, std::uint64_t own,
    const std::vector<std::uint64_t>& others, std::size_t vmCount)
{
    if (others.size() + 1 < vmCount)
        return hashFraction(own) * static_cast<double>(vmCount)
            < static_cast<double>(limit.shareholders) * limit.bound.partialViewShare;
    const auto before
        = std::count_if(others.begin(), others.end(), [own](std::uint64_t other) { return other < own; });
    return static_cast<std::size_t>(before) < limit.shareholders;
}

Utils::Duration shareInterval(const RequestLimit& limit)
{
    const double perSecond
        = std::max(limit.perSecond, Internal::minRequestsPerSecond) * Internal::usedRateShare;
    const double shareholders = static_cast<double>(limit.shareholders);
    const std::chrono::duration<double> byRate(shareholders / perSecond);
    // The bound holds even if all shareholders begin at the same time.
    const double perWindow
        = std::max(std::floor(Internal::usedBound(limit.perSecond, limit.bound) / shareholders), 1.0);
    const std::chrono::duration<double> byBound = limit.bound.window / perWindow;
    const std::chrono::duration<double> interval = std::max(byRate, byBound);
    return interval < Internal::maxInterval ? std::chrono::duration_cast<Utils::Duration>(interval)
                                            : Internal::maxInterval;
}

void startLimit(RequestLimit& limit, double phase, Utils::Instant now)
{
    limit.isNamed = true;
    limit.namedAt = now;
    limit.refusals = 0;
    limit.mostUrgentPriority = UINT32_MAX;
    limit.nextSendAt = now
        + std::chrono::duration_cast<Utils::Duration>(
            std::chrono::duration<double>(shareInterval(limit)) * phase);
}

std::optional<Utils::Duration> timeToNextSend(const RequestLimit& limit, Utils::Instant now)
{
    if (!limit.isShareholder)
        return std::nullopt;
    return std::max(limit.nextSendAt - now, Utils::Duration::zero());
}

std::optional<Utils::Duration> reserveSend(
    RequestLimit& limit, unsigned priority, Utils::Duration maxWait, Utils::Instant now)
{
    return reserveSend(std::vector<RequestLimit*> { &limit }, priority, maxWait, now);
}

std::optional<Utils::Duration> reserveSend(
    const std::vector<RequestLimit*>& limits, unsigned priority, Utils::Duration maxWait, Utils::Instant now)
{
    Utils::Duration wait = Utils::Duration::zero();
    for (RequestLimit* const limit : limits) {
        limit->mostUrgentPriority = std::min(limit->mostUrgentPriority, priority);
        const bool mayWait = priority <= limit->mostUrgentPriority;
        const Utils::Duration longest
            = mayWait ? std::max(maxWait, Utils::Duration::zero()) : Utils::Duration::zero();
        const std::optional<Utils::Duration> next = timeToNextSend(*limit, now);
        if (!next || *next > longest) {
            ++limit->refusals;
            return std::nullopt;
        }
        wait = std::max(wait, *next);
    }
    for (RequestLimit* const limit : limits)
        limit->nextSendAt = now + wait + shareInterval(*limit);
    return wait;
}

Utils::Duration retryDelay(const RequestLimit& limit, Utils::Instant now)
{
    const Utils::Duration delay = timeToNextSend(limit, now).value_or(shareInterval(limit) / 2);
    return std::max(delay, Internal::minRetryDelay);
}

} // namespace Balancing
