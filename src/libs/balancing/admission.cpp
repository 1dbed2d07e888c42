#include <balancing/admission.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

/// A caller waits at most this fraction (1/n) of its remaining time before it retries.
constexpr int maxWaitDivisor = 3;
constexpr Utils::Duration minRetryDelay = std::chrono::milliseconds(50);
/// A request that yields comes back after about this fraction (1/n) of its remaining time.
constexpr int yieldDelayDivisor = 4;

/// Extends \a delay by up to half, depending on \a seed, so that retries do not arrive at the same time.
Utils::Duration addJitter(Utils::Duration delay, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1024;
    return delay + delay * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps) / 2;
}

} // namespace Internal

AdmissionDecision admit(const AdmissionContext& context)
{
    const bool meetsTarget = context.expectedLatency <= context.timeToTarget;
    const bool meetsDeadline = context.expectedLatency <= context.timeLeft;
    if (!context.mustYield && (meetsTarget || (meetsDeadline && context.isCallerRetry)))
        return {};
    const Utils::Duration excessLatency = context.mustYield
        ? context.timeLeft / Internal::yieldDelayDivisor
        : std::max(context.expectedLatency - context.unloadedLatency, Internal::minRetryDelay);
    const Utils::Duration retryDelay = std::min(
        Internal::addJitter(excessLatency, context.seed), context.timeLeft / Internal::maxWaitDivisor);
    const bool canRetryLater
        = context.timeLeft - retryDelay > context.unloadedLatency + context.unloadedLatency / 2;
    if (meetsDeadline && !canRetryLater && !context.mustYield)
        return {};
    return { false, std::max(retryDelay, Internal::minRetryDelay), context.mustYield };
}

} // namespace Balancing
