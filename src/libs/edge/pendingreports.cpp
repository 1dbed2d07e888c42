#include <edge/clock.h>
#include <edge/pendingreports.h>
#include <logging/log.h>

#include <algorithm>
#include <utility>

namespace Edge {

namespace Internal {

/// Several times the reports of a large fleet that starts.
constexpr std::size_t maxPendingBytes = std::size_t(4) << 20;

using PendingMap = std::map<std::pair<Utils::UpstreamId, Utils::ServiceId>, PendingReport>;

std::size_t sizeOf(const PendingReport& pending)
{
    return sizeof(PendingReport) + pending.record.key.size() + pending.record.value.value_or("").size();
}

PendingMap::iterator erasePending(ClusterView& view, PendingMap::iterator it)
{
    view.pendingReportBytes -= sizeOf(it->second);
    return view.pendingReports.erase(it);
}

void enforcePendingLimit(ClusterView& view)
{
    while (view.pendingReportBytes > maxPendingBytes) {
        const auto oldest = std::min_element(view.pendingReports.begin(), view.pendingReports.end(),
            [](const PendingMap::value_type& one, const PendingMap::value_type& other) {
                return one.second.receivedAt < other.second.receivedAt;
            });
        Logging::write(Logging::Level::Warning, "report_dropped",
            { { "upstream", oldest->second.report.id.value },
                { "service", oldest->second.report.service.value },
                { "pending", view.pendingReports.size() } });
        erasePending(view, oldest);
    }
}

void logPending(const Node& node, const PendingReport& pending)
{
    // Before the first configuration, all reports are pending.
    if (!node.clusterView.routeTable)
        return;
    const auto known = node.clusterView.directory.entries.find(pending.report.id);
    const bool isKnown = known != node.clusterView.directory.entries.end();
    Logging::write(Logging::Level::Warning, "report_pending",
        { { "upstream", pending.report.id.value }, { "service", pending.report.service.value },
            { "known_service", isKnown ? known->second.record.service.value : "" },
            { "offset", pending.record.offset },
            { "config", node.clusterView.routeTable->configuration.version } });
}

} // namespace Internal

bool isServiceNamed(const Node& node, const Routing::UpstreamRecord& report)
{
    const ClusterView& view = node.clusterView;
    if (view.routeTable && view.routeTable->configuration.services.contains(report.service))
        return true;
    const auto known = view.directory.entries.find(report.id);
    return known != view.directory.entries.end() && known->second.record.service == report.service;
}

void keepPendingReport(Node& node, Routing::UpstreamRecord report, const Platform::StoreRecord& record)
{
    ClusterView& view = node.clusterView;
    const std::pair<Utils::UpstreamId, Utils::ServiceId> key { report.id, report.service };
    const auto former = view.pendingReports.find(key);
    const bool isKnown = former != view.pendingReports.end();
    if (isKnown && record.offset <= former->second.record.offset)
        return;
    if (isKnown)
        Internal::erasePending(view, former);
    const auto kept = view.pendingReports.emplace(key, PendingReport { std::move(report), record, now() });
    view.pendingReportBytes += Internal::sizeOf(kept.first->second);
    if (!isKnown)
        Internal::logPending(node, kept.first->second);
    Internal::enforcePendingLimit(view);
}

std::vector<PendingReport> takeNamedReports(Node& node)
{
    ClusterView& view = node.clusterView;
    std::vector<PendingReport> named;
    for (auto it = view.pendingReports.begin(); it != view.pendingReports.end();) {
        const bool isOutdated = now() - it->second.receivedAt > Routing::expiredEntryRetention;
        if (!isOutdated && !isServiceNamed(node, it->second.report)) {
            ++it;
            continue;
        }
        if (!isOutdated)
            named.push_back(it->second);
        it = Internal::erasePending(view, it);
    }
    std::sort(named.begin(), named.end(), [](const PendingReport& one, const PendingReport& other) {
        return one.record.offset < other.record.offset;
    });
    return named;
}

void dropPendingReports(Node& node, const Utils::UpstreamId& upstream)
{
    ClusterView& view = node.clusterView;
    for (auto it = view.pendingReports.lower_bound({ upstream, {} });
         it != view.pendingReports.end() && it->first.first == upstream;)
        it = Internal::erasePending(view, it);
}

void keepOnlyPendingReportsOf(Node& node, const std::set<std::string>& upstreams)
{
    ClusterView& view = node.clusterView;
    for (auto it = view.pendingReports.begin(); it != view.pendingReports.end();) {
        if (upstreams.contains(it->first.first.value))
            ++it;
        else
            it = Internal::erasePending(view, it);
    }
}

} // namespace Edge
