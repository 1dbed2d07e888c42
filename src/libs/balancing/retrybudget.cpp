#include <balancing/retrybudget.h>

namespace Balancing {

namespace Internal {

std::int64_t sliceNumber(const RetryAllowance& allowance, Utils::Instant now)
{
    const Utils::Duration length = allowance.window / RetryBudget::sliceCount;
    return now.time_since_epoch() / length;
}

RetryBudget::Slice& findOrResetSlice(RetryBudget& budget, std::int64_t number)
{
    RetryBudget::Slice& slice = budget.slices[static_cast<std::size_t>(number) % RetryBudget::sliceCount];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

} // namespace Internal

RetryAllowance shareAllowance(const RetryAllowance& whole, std::uint32_t vmCount, Utils::Duration uptime)
{
    const bool hasSlack = vmCount > 0 && uptime >= whole.window;
    return { whole.ratio, hasSlack ? whole.slack / vmCount : 0, whole.window };
}

void recordRequest(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now)
{
    ++Internal::findOrResetSlice(budget, Internal::sliceNumber(allowance, now)).requests;
}

bool hasRetryAllowance(const RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now)
{
    const std::int64_t current = Internal::sliceNumber(allowance, now);
    double requests = 0;
    double retries = 0;
    for (const RetryBudget::Slice& slice : budget.slices) {
        if (slice.number < 0 || current - slice.number >= static_cast<std::int64_t>(RetryBudget::sliceCount))
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    return retries + 1 <= allowance.ratio * requests + allowance.slack;
}

bool tryConsumeRetry(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now)
{
    if (!hasRetryAllowance(budget, allowance, now))
        return false;
    ++Internal::findOrResetSlice(budget, Internal::sliceNumber(allowance, now)).retries;
    return true;
}

} // namespace Balancing
