#include <edge/clock.h>
#include <edge/limitkeeping.h>
#include <edge/limitshares.h>
#include <logging/log.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace Internal {

using Balancing::RequestLimit;

void logLimitNamed(const Utils::UpstreamId& upstream, const RequestLimit& limit, bool reported)
{
    Logging::write(Logging::Level::Warning, "limit_named",
        { { "upstream", upstream.value }, { "per_second", limit.perSecond },
            { "shareholders", limit.shareholders }, { "shares", limit.isShareholder },
            { "interval_ms", Utils::toMilliseconds(Balancing::shareInterval(limit)) },
            { "reported", reported } });
}

void logLimitEnded(const Utils::UpstreamId& upstream, const RequestLimit& limit, const char* why)
{
    Logging::write(Logging::Level::Info, "limit_ended",
        { { "upstream", upstream.value }, { "lasted_ms", Utils::toMilliseconds(now() - limit.namedAt) },
            { "refused", limit.refusals }, { "why", why } });
}

/// Applies an observation. Returns whether it changed what this VM knows.
bool applyLimit(Node& node, const Utils::UpstreamId& upstream, std::optional<double> perSecond,
    Utils::Instant observedAt, bool reported)
{
    const auto found = node.requestLimits.byUpstream.find(upstream);
    if (found == node.requestLimits.byUpstream.end() && !perSecond)
        return false;
    RequestLimit& limit = node.requestLimits.byUpstream[upstream];
    if (observedAt <= limit.observedAt)
        return false;
    limit.observedAt = observedAt;
    if (limit.isNamed == perSecond.has_value() && (!perSecond || *perSecond == limit.perSecond))
        return false;
    const Utils::Instant at = now();
    // The leader takes the limit into account when it places keys.
    node.leader.plannedAt = {};
    if (!perSecond) {
        limit.isNamed = false;
        logLimitEnded(upstream, limit, reported ? "reported" : "not_named");
        return true;
    }
    limit.perSecond = *perSecond;
    updateShare(node, upstream, limit, at);
    if (!limit.isNamed)
        Balancing::startLimit(limit, sharePhase(node, upstream), at);
    limit.nextSendAt = std::min(limit.nextSendAt, at + Balancing::shareInterval(limit));
    logLimitNamed(upstream, limit, reported);
    return true;
}

std::vector<Relay::LimitNotice> takeNotices(const Node& node, std::set<Utils::UpstreamId>& unsent)
{
    const Utils::Instant at = now();
    std::vector<Relay::LimitNotice> notices;
    for (const Utils::UpstreamId& upstream : std::exchange(unsent, {})) {
        const auto found = node.requestLimits.byUpstream.find(upstream);
        if (found != node.requestLimits.byUpstream.end())
            notices.push_back(
                { upstream, found->second.perSecond, found->second.isNamed, at - found->second.observedAt });
    }
    return notices;
}

} // namespace Internal

void recordNamedLimit(Node& node, const Utils::UpstreamId& upstream, const Platform::ServerHeaders& headers)
{
    if (headers.requestLimitError) {
        node.counters.decodeErrors.add(*headers.requestLimitError);
        Logging::write(Logging::Level::Warning, "limit_unreadable",
            { { "upstream", upstream.value },
                { "error", Utils::enumName(Platform::decodeErrorNames, *headers.requestLimitError) } });
        return;
    }
    // A refusal may come from a part of the upstream that does not know its limit.
    if (!headers.requestLimit && !headers.isStamped)
        return;
    if (!Internal::applyLimit(node, upstream, headers.requestLimit, now(), false))
        return;
    node.requestLimits.unsentToSource.insert(upstream);
    node.requestLimits.unsentToSubscribers.insert(upstream);
}

void recordReportedLimits(Node& node, const std::vector<Relay::LimitNotice>& notices, bool fromSource)
{
    const Utils::Instant at = now();
    for (const Relay::LimitNotice& notice : notices) {
        const std::optional<double> perSecond
            = notice.isNamed ? std::optional<double>(notice.perSecond) : std::nullopt;
        if (!Internal::applyLimit(node, notice.upstream, perSecond, at - notice.age, true))
            continue;
        node.requestLimits.unsentToSubscribers.insert(notice.upstream);
        if (!fromSource)
            node.requestLimits.unsentToSource.insert(notice.upstream);
    }
}

void forgetLimit(Node& node, const Utils::UpstreamId& upstream)
{
    node.requestLimits.coldBudgets.erase(upstream);
    const auto found = node.requestLimits.byUpstream.find(upstream);
    if (found == node.requestLimits.byUpstream.end())
        return;
    if (found->second.isNamed)
        Internal::logLimitEnded(upstream, found->second, "upstream_ended");
    node.requestLimits.byUpstream.erase(found);
}

Balancing::RequestLimit* findLimit(Node& node, const Utils::UpstreamId& upstream)
{
    const auto found = node.requestLimits.byUpstream.find(upstream);
    if (found == node.requestLimits.byUpstream.end() || !found->second.isNamed)
        return nullptr;
    refreshShare(node, upstream, found->second, now());
    return &found->second;
}

std::vector<Relay::LimitNotice> takeNoticesForSource(Node& node)
{
    return Internal::takeNotices(node, node.requestLimits.unsentToSource);
}

std::vector<Relay::LimitNotice> takeNoticesForSubscribers(Node& node)
{
    return Internal::takeNotices(node, node.requestLimits.unsentToSubscribers);
}

void queueLimitsForSubscribers(Node& node)
{
    const std::unordered_map<Utils::UpstreamId, Balancing::RequestLimit>& limits
        = node.requestLimits.byUpstream;
    for (auto it = limits.begin(); it != limits.end(); ++it) {
        if (it->second.isNamed)
            node.requestLimits.unsentToSubscribers.insert(it->first);
    }
}

std::size_t countLimitedUpstreams(const Node& node)
{
    const std::unordered_map<Utils::UpstreamId, Balancing::RequestLimit>& limits
        = node.requestLimits.byUpstream;
    return static_cast<std::size_t>(
        std::count_if(limits.begin(), limits.end(), [](const auto& entry) { return entry.second.isNamed; }));
}

} // namespace Edge
