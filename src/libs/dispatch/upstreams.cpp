#include <dispatch/upstreams.h>

#include <dispatch/dispatchconstants.h>

#include <algorithm>

namespace Dispatch::Internal {

namespace {

void raiseShedLimit(UpstreamState& upstream)
{
    if (!upstream.shedLimit.has_value())
        return;
    ++upstream.completionsAtLimit;
    if (upstream.completionsAtLimit < upstream.raiseAfter)
        return;
    upstream.completionsAtLimit = 0;
    ++*upstream.shedLimit;
    if (*upstream.shedLimit <= upstream.declared.slots)
        return;
    upstream.shedLimit.reset();
    upstream.raiseAfter = 0;
}

} // namespace

void noteCompletion(UpstreamState& upstream, Utils::Instant now)
{
    upstream.completedAt = now;
    upstream.refusals = 0;
    raiseShedLimit(upstream);
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

void noteShedding(UpstreamState& upstream, Utils::Duration retryAfter, Utils::Instant now)
{
    if (upstream.running.empty()) {
        noteRefusal(upstream, retryAfter, now);
        return;
    }
    upstream.shedLimit = upstream.running.size();
    upstream.completionsAtLimit = 0;
    upstream.raiseAfter = std::clamp(2 * upstream.raiseAfter, firstRaiseAfter, maxRaiseAfter);
}

} // namespace Dispatch::Internal
