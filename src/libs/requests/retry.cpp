#include <requests/retry.h>

#include <algorithm>
#include <string_view>

namespace Requests {

namespace {

using Window = std::array<RetrySlice, retryWindowSlices>;

std::int64_t sliceNumber(Utils::Instant now) { return now.time_since_epoch() / retryWindowSlice; }

RetrySlice& currentSlice(Window& window, Utils::Instant now)
{
    const std::int64_t number = sliceNumber(now);
    RetrySlice& slice = window.at(static_cast<std::size_t>(number) % retryWindowSlices);
    if (slice.number != number)
        slice = RetrySlice { number, 0, 0 };
    return slice;
}

RetrySlice sumOf(const Window& window, Utils::Instant now)
{
    const std::int64_t oldest = sliceNumber(now) - static_cast<std::int64_t>(retryWindowSlices);
    RetrySlice sum;
    for (const RetrySlice& slice : window) {
        if (slice.number <= oldest)
            continue;
        sum.firstAttempts += slice.firstAttempts;
        sum.retries += slice.retries;
    }
    return sum;
}

/// SplitMix64: spreads neighbouring seeds over all values.
std::uint64_t mixed(std::uint64_t seed)
{
    seed += 0x9e3779b97f4a7c15U;
    seed = (seed ^ (seed >> 30U)) * 0xbf58476d1ce4e5b9U;
    seed = (seed ^ (seed >> 27U)) * 0x94d049bb133111ebU;
    return seed ^ (seed >> 31U);
}

/// Whether the fault may be gone, or another place be found, before the caller would come back.
bool mayHelp(Reason reason)
{
    switch (reason) {
    case Reason::ShuttingDown:
    case Reason::NoOwner:
    case Reason::NotDispatcher:
    case Reason::DispatcherUnreachable:
    case Reason::UpstreamUnreachable:
    case Reason::UpstreamShedding:
    case Reason::UpstreamDraining:
    case Reason::StaleToken:
    case Reason::DispatcherLost:
    case Reason::UpstreamLost:
        return true;
    default:
        return false;
    }
}

} // namespace

void noteFirstAttempt(RetryState& state, const Utils::RankId& rank, Utils::Instant now)
{
    ++currentSlice(state.windows[rank], now).firstAttempts;
}

bool takeRetry(RetryState& state, const Declarations::Rank& rank, Utils::Instant now)
{
    if (rank.retryBudgetPercent == 0)
        return false;
    Window& window = state.windows[rank.id];
    const RetrySlice sum = sumOf(window, now);
    const unsigned earned = sum.firstAttempts * rank.retryBudgetPercent / 100;
    if (sum.retries >= std::max(earned, minRetriesPerWindow))
        return false;
    ++currentSlice(window, now).retries;
    return true;
}

Utils::Duration retryBackoff(const Declarations::RetryPolicy& policy, unsigned attempts, std::uint64_t seed)
{
    Utils::Duration backoff = policy.firstBackoff;
    for (unsigned attempt = 1; attempt < attempts && backoff < policy.maxBackoff; ++attempt)
        backoff *= 2;
    backoff = std::min(backoff, policy.maxBackoff);
    const std::int64_t half = backoff.count() / 2;
    if (half == 0)
        return backoff;
    const std::uint64_t random = mixed(seed ^ mixed(attempts));
    return backoff
        - Utils::Duration(static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half + 1)));
}

bool mayRepeat(const FailedAttempt& failed)
{
    if (failed.answerBegun)
        return false;
    return failed.idempotent || outcomeOf(failed.reason) == Outcome::NotRun;
}

RetryDecision decideRetry(RetryState& state, const FailedAttempt& failed,
    const Declarations::RetryPolicy& policy, const Declarations::Rank& rank, Utils::Instant now)
{
    const Utils::Duration backoff = retryBackoff(policy, failed.attempts, failed.seed);
    const Utils::Duration wait = std::max(backoff, failed.retryAfter);
    const RetryDecision giveUp { false, {}, wait };
    if (!mayRepeat(failed) || !mayHelp(failed.reason))
        return giveUp;
    if (failed.attempts >= policy.maxAttempts || now + wait >= failed.deadline)
        return giveUp;
    if (!takeRetry(state, rank, now))
        return giveUp;
    return RetryDecision { true, now + wait, {} };
}

} // namespace Requests
