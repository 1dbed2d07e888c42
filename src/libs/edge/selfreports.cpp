#include <edge/clock.h>
#include <edge/selfreports.h>
#include <logging/log.h>

namespace Edge {

namespace Internal {

/// A faulty upstream sends such a report with each response.
constexpr Utils::Duration minLogInterval = std::chrono::seconds(10);

void recordUnreadable(Node& node, const Utils::UpstreamId& upstream, Platform::DecodeError error,
    std::string_view report, UnreadableReports& reports)
{
    ++node.counters.unreadableSelfReports;
    node.counters.decodeErrors.add(error);
    ++reports.sinceLogged;
    const Utils::Instant at = now();
    if (reports.loggedAt != Utils::Instant {} && at - reports.loggedAt < minLogInterval)
        return;
    Logging::write(Logging::Level::Warning, "self_report_unreadable",
        { { "upstream", upstream.value }, { "report", report },
            { "error", Utils::enumName(Platform::decodeErrorNames, error) },
            { "count", reports.sinceLogged } });
    reports = { at, 0 };
}

} // namespace Internal

void recordUnreadableReports(
    Node& node, const Utils::UpstreamId& upstream, const Platform::ServerHeaders& headers)
{
    if (!headers.loadError && !headers.coldTimeError)
        return;
    UpstreamState& state = node.traffic.upstreamStates[upstream];
    if (headers.loadError)
        Internal::recordUnreadable(node, upstream, *headers.loadError, "load", state.unreadableLoads);
    if (headers.coldTimeError)
        Internal::recordUnreadable(
            node, upstream, *headers.coldTimeError, "cold_time", state.unreadableColdTimes);
}

} // namespace Edge
