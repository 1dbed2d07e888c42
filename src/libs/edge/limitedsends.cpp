#include <edge/limitedsends.h>
#include <edge/limitkeeping.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace Internal {

/// Longest wait after which the response still meets the target, or the deadline if the caller has been
/// refused before.
Utils::Duration maxWaitFor(const Exchange& exchange, Utils::Duration expected, Utils::Instant now)
{
    const Utils::Instant latest = exchange.isCallerRetry ? exchange.deadlineAt : exchange.targetAt;
    return latest - now - expected;
}

} // namespace Internal

bool hasSendNow(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const Balancing::RequestLimit* const limit = findLimit(node, upstream);
    return !limit || Balancing::timeToNextSend(*limit, now) == Utils::Duration::zero();
}

Utils::Duration limitRetryDelay(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const Balancing::RequestLimit* const limit = findLimit(node, upstream);
    return limit ? Balancing::retryDelay(*limit, now) : Utils::Duration::zero();
}

std::optional<Utils::Duration> removeLimited(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now)
{
    std::optional<Utils::Duration> delay;
    if (exchange.service->keyed || node.requestLimits.byUpstream.empty())
        return delay;
    std::erase_if(candidates, [&](const Balancing::Candidate& candidate) {
        if (hasSendNow(node, candidate.id, now))
            return false;
        const Utils::Duration retryDelay = limitRetryDelay(node, candidate.id, now);
        delay = delay ? std::min(*delay, retryDelay) : retryDelay;
        return true;
    });
    return delay;
}

std::optional<Utils::Duration> reserveLimitedSend(Node& node, Exchange& exchange,
    const Utils::UpstreamId& upstream, Utils::Duration expected, Utils::Instant now)
{
    Balancing::RequestLimit* const limit = findLimit(node, upstream);
    if (!limit || std::exchange(exchange.reservedUpstream, {}) == upstream)
        return Utils::Duration::zero();
    const Utils::Duration maxWait
        = exchange.service->keyed ? Internal::maxWaitFor(exchange, expected, now) : Utils::Duration::zero();
    const std::optional<Utils::Duration> wait
        = Balancing::reserveSend(*limit, exchange.route->priority, maxWait, now);
    if (wait && *wait > Utils::Duration::zero()) {
        exchange.reservedUpstream = upstream;
        ++node.requestLimits.delayedSends;
    }
    return wait;
}

} // namespace Edge
