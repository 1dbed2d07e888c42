#include <dispatch/upstreams.h>

#include <dispatch/dispatchconstants.h>

#include <algorithm>

namespace Dispatch::Internal {

void noteCompletion(UpstreamState& upstream, Utils::Instant now)
{
    upstream.completedAt = now;
    upstream.refusals = 0;
    if (upstream.warmupsLeft > 0)
        --upstream.warmupsLeft;
    const bool settled = upstream.warmupsLeft == 0
        && (upstream.condition == UpstreamCondition::Shedding
            || upstream.condition == UpstreamCondition::Cold);
    if (settled)
        upstream.condition = UpstreamCondition::Usable;
}

void noteRefusal(UpstreamState& upstream, Utils::Duration retryAfter, Utils::Instant now)
{
    const bool isNew = upstream.pausedUntil <= now;
    Utils::Duration backoff = firstUpstreamBackoff;
    for (unsigned refusal = 0; refusal < upstream.refusals && backoff < maxUpstreamBackoff; ++refusal)
        backoff *= 2;
    if (isNew)
        ++upstream.refusals;
    const Utils::Duration pause = std::max(std::min(backoff, maxUpstreamBackoff), retryAfter);
    upstream.pausedUntil = std::max(upstream.pausedUntil, now + pause);
    upstream.warmupsLeft = std::max(upstream.warmupsLeft, 1U);
}

} // namespace Dispatch::Internal
