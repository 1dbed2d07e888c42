#pragma once

#include <declarations/rank.h>
#include <declarations/retrypolicy.h>
#include <requests/failedattempt.h>
#include <requests/retrydecision.h>
#include <requests/retrystate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

/// Retries by an entry VM: few, late enough to help, and never of work that may have run twice.
namespace Requests {

/// Counts a first attempt; each one earns a part of a retry.
void noteFirstAttempt(RetryState& state, const Utils::RankId& rank, Utils::Instant now);

/// Takes one retry of \a rank out of its budget; false, and nothing taken, if the budget is used up.
/// Over the window, retries stay within \c Rank::retryBudgetPercent of the first attempts, or
/// \c minRetriesPerWindow if that is more.
bool takeRetry(RetryState& state, const Declarations::Rank& rank, Utils::Instant now);

/// The wait before another attempt: doubled for each attempt made, up to the policy's longest, of which a
/// random half is taken off.
Utils::Duration retryBackoff(const Declarations::RetryPolicy& policy, unsigned attempts, std::uint64_t seed);

/// Whether another attempt can do no harm: the work was not run, or may run twice.
bool mayRepeat(const FailedAttempt& failed);

/// Decides what becomes of \a failed. A retry is taken out of the budget.
RetryDecision decideRetry(RetryState& state, const FailedAttempt& failed,
    const Declarations::RetryPolicy& policy, const Declarations::Rank& rank, Utils::Instant now);

} // namespace Requests
