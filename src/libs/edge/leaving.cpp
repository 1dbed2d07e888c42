#include <edge/clock.h>
#include <edge/leaving.h>
#include <edge/upstreams.h>
#include <logging/log.h>

#include <utility>

namespace Edge {

namespace Internal {

/// No request is sent in this last part of the time in which an upstream that leaves still takes requests: it
/// would arrive after it.
constexpr Utils::Duration drainMargin = std::chrono::milliseconds(300);

bool applyLeaving(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs, bool reported)
{
    const auto known = node.clusterView.directory.entries.find(upstream);
    const bool hasEnded
        = known != node.clusterView.directory.entries.end() && known->second.record.startTimeMs > startTimeMs;
    if (hasEnded || !Routing::recordLeaving(node.leaving.upstreams, upstream, startTimeMs, now()))
        return false;
    Logging::write(Logging::Level::Info, "upstream_leaving",
        { { "upstream", upstream.value }, { "born_ms", startTimeMs }, { "reported", reported },
            { "draining",
                known != node.clusterView.directory.entries.end() && known->second.record.draining } });
    closeIdleUpstreamConnections(node, upstream);
    // The leader moves the keys of the upstream.
    node.leader.plannedAt = {};
    return true;
}

std::vector<Relay::LeavingNotice> takeLeaving(const Node& node, std::set<Utils::UpstreamId>& unsent)
{
    std::vector<Relay::LeavingNotice> notices;
    for (const Utils::UpstreamId& upstream : std::exchange(unsent, {})) {
        if (const std::optional<Relay::LeavingNotice> notice = findLeavingNotice(node, upstream))
            notices.push_back(*notice);
    }
    return notices;
}

} // namespace Internal

void recordUpstreamLeaving(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs)
{
    if (!Internal::applyLeaving(node, upstream, startTimeMs, false))
        return;
    node.leaving.unsentToSource.insert(upstream);
    node.leaving.unsentToSubscribers.insert(upstream);
}

void recordReportedLeaving(Node& node, const std::vector<Relay::LeavingNotice>& notices, bool fromSource)
{
    for (const Relay::LeavingNotice& notice : notices) {
        if (!Internal::applyLeaving(node, notice.upstream, notice.startTimeMs, true))
            continue;
        node.leaving.unsentToSubscribers.insert(notice.upstream);
        if (!fromSource)
            node.leaving.unsentToSource.insert(notice.upstream);
    }
}

void forgetUpstreamLeaving(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs)
{
    Routing::forgetLeaving(node.leaving.upstreams, upstream, startTimeMs);
}

std::optional<Relay::LeavingNotice> findLeavingNotice(const Node& node, const Utils::UpstreamId& upstream)
{
    const auto found = node.leaving.upstreams.byId.find(upstream);
    if (found == node.leaving.upstreams.byId.end())
        return std::nullopt;
    return Relay::LeavingNotice { upstream, found->second.startTimeMs };
}

bool isLeaving(const Node& node, const Routing::UpstreamRecord& record)
{
    return Routing::leavingFor(node.leaving.upstreams, record, now()).has_value();
}

bool mustHaveLeft(const Node& node, const Routing::UpstreamRecord& record, Utils::Instant now)
{
    const std::optional<Utils::Duration> elapsed = Routing::leavingFor(node.leaving.upstreams, record, now);
    return elapsed && *elapsed >= node.settings.operatingLimits.drainTimeout - Internal::drainMargin;
}

std::vector<Relay::LeavingNotice> takeLeavingForSource(Node& node)
{
    return Internal::takeLeaving(node, node.leaving.unsentToSource);
}

std::vector<Relay::LeavingNotice> takeLeavingForSubscribers(Node& node)
{
    return Internal::takeLeaving(node, node.leaving.unsentToSubscribers);
}

void queueLeavingForSubscribers(Node& node)
{
    for (auto it = node.leaving.upstreams.byId.begin(); it != node.leaving.upstreams.byId.end(); ++it)
        node.leaving.unsentToSubscribers.insert(it->first);
}

void queueLeavingForSource(Node& node)
{
    for (auto it = node.leaving.upstreams.byId.begin(); it != node.leaving.upstreams.byId.end(); ++it)
        node.leaving.unsentToSource.insert(it->first);
}

} // namespace Edge
