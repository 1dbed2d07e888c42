#include <edge/coldupstreams.h>
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

/// The limits that bind the requests to \a upstream: what it names, and what it takes while it is cold.
std::vector<Balancing::RequestLimit*> findLimits(
    Node& node, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    std::vector<Balancing::RequestLimit*> limits;
    if (Balancing::RequestLimit* const limit = findLimit(node, upstream))
        limits.push_back(limit);
    if (Balancing::RequestLimit* const budget = findColdBudget(node, upstream, now))
        limits.push_back(budget);
    return limits;
}

void countColdRefusal(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const Balancing::RequestLimit* const budget = findColdBudget(node, upstream, now);
    const bool isRefused = budget && Balancing::timeToNextSend(*budget, now) != Utils::Duration::zero();
    node.requestLimits.coldRefusals += isRefused ? 1 : 0;
}

} // namespace Internal

bool hasSendNow(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    const std::vector<Balancing::RequestLimit*> limits = Internal::findLimits(node, upstream, now);
    return std::all_of(limits.begin(), limits.end(), [now](const Balancing::RequestLimit* limit) {
        return Balancing::timeToNextSend(*limit, now) == Utils::Duration::zero();
    });
}

Utils::Duration limitRetryDelay(Node& node, const Utils::UpstreamId& upstream, Utils::Instant now)
{
    Utils::Duration delay = Utils::Duration::zero();
    for (const Balancing::RequestLimit* const limit : Internal::findLimits(node, upstream, now))
        delay = std::max(delay, Balancing::retryDelay(*limit, now));
    return delay;
}

std::optional<Utils::Duration> removeLimited(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now)
{
    std::optional<Utils::Duration> delay;
    const bool hasLimits = !node.requestLimits.byUpstream.empty() || exchange.service->coldRequestsPerSecond;
    if (exchange.service->keyed || !hasLimits)
        return delay;
    std::erase_if(candidates, [&](const Balancing::Candidate& candidate) {
        if (hasSendNow(node, candidate.id, now))
            return false;
        Internal::countColdRefusal(node, candidate.id, now);
        const Utils::Duration retryDelay = limitRetryDelay(node, candidate.id, now);
        delay = delay ? std::min(*delay, retryDelay) : retryDelay;
        return true;
    });
    return delay;
}

std::optional<Utils::Duration> reserveLimitedSend(Node& node, Exchange& exchange,
    const Utils::UpstreamId& upstream, Utils::Duration expected, Utils::Instant now)
{
    const std::vector<Balancing::RequestLimit*> limits = Internal::findLimits(node, upstream, now);
    if (limits.empty() || std::exchange(exchange.reservedUpstream, {}) == upstream)
        return Utils::Duration::zero();
    const Utils::Duration maxWait
        = exchange.service->keyed ? Internal::maxWaitFor(exchange, expected, now) : Utils::Duration::zero();
    const std::optional<Utils::Duration> wait
        = Balancing::reserveSend(limits, exchange.route->priority, maxWait, now);
    if (!wait)
        Internal::countColdRefusal(node, upstream, now);
    if (wait && *wait > Utils::Duration::zero()) {
        exchange.reservedUpstream = upstream;
        ++node.requestLimits.delayedSends;
    }
    return wait;
}

} // namespace Edge
