#include <balancing/requestlimit.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

/// The platform's bound: in any window of four seconds, one and a half times the limit and five requests
/// more.
constexpr double windowSeconds = 4;
constexpr double excessFactor = 1.5;
constexpr double excessRequests = 5;
/// Share of that bound that all shareholders together reach if they send at the same time.
constexpr double usedBoundShare = 0.9;
/// Share of the limit that is used over time. The margin allows for VMs that count each other differently.
constexpr double usedRateShare = 0.85;
/// An upstream that takes no requests still gets some, as only its responses tell when the limit ends.
constexpr double minRequestsPerSecond = 0.25;
constexpr Utils::Duration maxInterval = std::chrono::minutes(1);
constexpr Utils::Duration minRetryDelay = std::chrono::milliseconds(300);

} // namespace Internal

std::size_t countShareholders(double perSecond, std::size_t vmCount)
{
    const double bound
        = Internal::excessFactor * perSecond * Internal::windowSeconds + Internal::excessRequests;
    const double most = std::min(bound * Internal::usedBoundShare, static_cast<double>(vmCount));
    return std::max<std::size_t>(static_cast<std::size_t>(most), 1);
}

Utils::Duration shareInterval(const RequestLimit& limit)
{
    const double perSecond
        = std::max(limit.perSecond, Internal::minRequestsPerSecond) * Internal::usedRateShare;
    const std::chrono::duration<double> interval(static_cast<double>(limit.shareholders) / perSecond);
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
    limit.mostUrgentPriority = std::min(limit.mostUrgentPriority, priority);
    const bool mayWait = priority <= limit.mostUrgentPriority;
    const std::optional<Utils::Duration> wait = timeToNextSend(limit, now);
    if (!wait || *wait > (mayWait ? std::max(maxWait, Utils::Duration::zero()) : Utils::Duration::zero())) {
        ++limit.refusals;
        return std::nullopt;
    }
    limit.nextSendAt = now + *wait + shareInterval(limit);
    return wait;
}

Utils::Duration retryDelay(const RequestLimit& limit, Utils::Instant now)
{
    const Utils::Duration delay = timeToNextSend(limit, now).value_or(shareInterval(limit) / 2);
    return std::max(delay, Internal::minRetryDelay);
}

} // namespace Balancing
