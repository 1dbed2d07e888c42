#include <declarations/internal/checkcontext.h>

#include <declarations/declarationsconstants.h>

#include <utility>

namespace Declarations::Internal {

namespace {

/// Longest time from a loss until its shards may be granted anew, without the time of messages.
Utils::Duration failoverTime(const LeasePolicy& lease)
{
    const Utils::Duration waited = lease.proofWindow + lease.lease;
    const Utils::Duration drift = waited * lease.driftPerMille / 1000;
    return lease.suspectAfter + waited + drift;
}

void checkOrder(CheckContext& context, const ObjectRef& ref, Utils::Duration shorter, Utils::Duration longer,
    std::string_view field, std::string_view longerName)
{
    if (shorter < longer)
        return;
    reportAt(
        context, FaultCode::LeasePolicyOrder, ref, field, "must be shorter than " + std::string(longerName));
}

void checkLease(CheckContext& context, const LeasePolicy& lease, const ObjectRef& ref)
{
    checkOrder(context, ref, lease.renewEvery, lease.proofWindow, "/lease/renew_every_ms", "proof_window_ms");
    checkOrder(context, ref, lease.proofWindow, lease.lease, "/lease/proof_window_ms", "lease_ms");
    checkOrder(
        context, ref, lease.renewEvery, lease.suspectAfter, "/lease/suspect_after_ms", "suspect_after_ms");
    const Utils::Duration failover = failoverTime(lease);
    if (failover > maxFailover) {
        reportAt(context, FaultCode::FailoverTooSlow, ref, "/lease",
            "suspect_after_ms + (proof_window_ms + lease_ms) with drift is "
                + std::to_string(Utils::toMilliseconds(failover)) + " ms and must be at most "
                + std::to_string(Utils::toMilliseconds(maxFailover)) + " ms");
    }
}

} // namespace

void checkPolicies(CheckContext& context)
{
    for (const std::pair<const Utils::PolicyId, Policy>& entry : context.configuration.policies) {
        const ObjectRef ref { ObjectKind::Policy, entry.first.value };
        if (!isSound(context, ref))
            continue;
        checkLease(context, entry.second.lease, ref);
        if (entry.second.retry.maxBackoff < entry.second.retry.firstBackoff) {
            reportAt(context, FaultCode::BackoffOrder, ref, "/retry/max_backoff_ms",
                "must not be shorter than first_backoff_ms");
        }
    }
}

} // namespace Declarations::Internal
