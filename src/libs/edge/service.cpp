#include <edge/clusterviewupdates.h>
#include <edge/callers.h>
#include <edge/clock.h>
#include <edge/topicfollowing.h>
#include <edge/leaderelection.h>
#include <edge/metricspage.h>
#include <edge/relay.h>
#include <edge/loadreporting.h>
#include <edge/service.h>
#include <edge/topics.h>
#include <logging/log.h>

#include <boost/asio/ip/address.hpp>

#include <csignal>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Where metrics are served; the deploy file names it.
constexpr std::uint16_t metricsPort = 9464;
/// Reads wait this long for a record. They also show that the store can be read; one that waits while the
/// store turns VMs away may hear nothing, so that this is part of the time in which a change comes into
/// force.
constexpr Utils::Duration reportsWait = std::chrono::milliseconds(700);
constexpr Utils::Duration configurationsWait = std::chrono::milliseconds(700);
constexpr Utils::Duration leaderWait = std::chrono::seconds(3);
/// Upstreams that change together are read together; leaves most of the drain bound.
constexpr Utils::Duration reportsPause = std::chrono::milliseconds(150);
/// A standby needs no renewal at once, as long as it sees some within a lease.
constexpr Utils::Duration leaderPause = std::chrono::milliseconds(600);
/// After a stop is asked for, new callers are taken until the balancer has seen two refusals a second apart.
constexpr Utils::Duration balancerNotice = std::chrono::milliseconds(2600);
/// Left of the stop's grace when the process ends whatever is still under way.
constexpr Utils::Duration stopReserve = std::chrono::milliseconds(300);
constexpr Utils::Duration stopCheck = std::chrono::milliseconds(50);
/// The settings may change without a signal.
constexpr Utils::Duration settingsInterval = std::chrono::seconds(3);

bool isReady(const Node& node)
{
    return !node.stopping && node.clusterView.routeTable && node.clusterView.directoryLoaded;
}

HttpResponse readinessAnswer(const Node& node)
{
    HttpResponse response(isReady(node) ? http::status::ok : http::status::service_unavailable, 11);
    return response;
}

HttpResponse metricsAnswer(const Node& node, std::string_view target)
{
    const bool known = target == "/metrics";
    HttpResponse response(known ? http::status::ok : http::status::not_found, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    if (known)
        response.body() = renderMetricsPage(node);
    return response;
}

void followTopics(Service& service)
{
    Node& node = service.node;
    TopicFollowers& followers = node.topicFollowers;
    followers.configurations.topic = Platform::operatorTopic;
    followers.configurations.longPollTimeout = configurationsWait;
    followers.configurations.newestOnly = true;
    followers.configurations.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyConfigurations(node, records); };
    followers.configurations.onSnapshot = [&node](const std::vector<Platform::StoreRecord>& records,
                                              Utils::Offset) { applyConfigurations(node, records); };
    followers.reports.topic = Platform::serversTopic;
    followers.reports.longPollTimeout = reportsWait;
    followers.reports.readInterval = reportsPause;
    followers.reports.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyUpstreamReports(node, records); };
    followers.reports.onSnapshot = [&node](const std::vector<Platform::StoreRecord>& records,
                                       Utils::Offset end) { applyUpstreamSnapshot(node, records, end); };
    followers.assignments.topic = assignmentTopic;
    followers.assignments.longPollTimeout = configurationsWait;
    followers.assignments.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyAssignments(node, records); };
    followers.assignments.onSnapshot = [&node](const std::vector<Platform::StoreRecord>& records,
                                           Utils::Offset) { applyAssignments(node, records); };
    followers.leader.topic = leaderTopic;
    followers.leader.longPollTimeout = leaderWait;
    followers.leader.readInterval = leaderPause;
    followers.leader.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyLeaderRecords(node, records); };
    followers.leader.onRead = [&node](Utils::Offset end) {
        recordLeaderTopicEnd(node, end);
        handleLeaderTopicRead(node);
    };
    // The others are read when it is known who leads.
    followers.configurations.paused = true;
    followers.reports.paused = true;
    followers.assignments.paused = true;
    startFollowing(node, followers.leader);
}

void acceptNext(Service& service)
{
    service.callerAcceptor.async_accept([&service](const ErrorCode& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !service.callerAcceptor.is_open())
            return;
        if (!error)
            acceptCaller(service.node, std::move(socket));
        acceptNext(service);
    });
}

void listenForCallers(Service& service)
{
    const Tcp::endpoint endpoint = toTcpEndpoint(service.node.settings.callerEndpoint);
    service.callerAcceptor.open(endpoint.protocol());
    service.callerAcceptor.set_option(Tcp::acceptor::reuse_address(true));
    service.callerAcceptor.bind(endpoint);
    service.callerAcceptor.listen();
    acceptNext(service);
}

void checkStop(Service& service)
{
    Node& node = service.node;
    const Utils::Duration since = now() - service.stopRequestedAt;
    if (!node.closing && since >= balancerNotice) {
        node.closing = true;
        ErrorCode ignored;
        service.callerAcceptor.close(ignored);
    }
    if (node.closing)
        closeIdleCallers(node);
    const bool timeUp = since >= node.settings.operatingLimits.terminationGracePeriod - stopReserve;
    if (timeUp || (node.closing && node.traffic.callerConnections.empty())) {
        Logging::write(Logging::Level::Info, "stopped",
            { { "after_ms", Utils::toMilliseconds(since) }, { "cut", node.traffic.exchanges.size() } });
        node.context.stop();
        return;
    }
    service.stopTimer.expires_after(stopCheck);
    service.stopTimer.async_wait([&service](const ErrorCode& error) {
        if (!error)
            checkStop(service);
    });
}

void beginStop(Service& service)
{
    if (service.node.stopping)
        return;
    Logging::write(Logging::Level::Info, "stopping",
        { { "requests", service.node.traffic.exchanges.size() },
            { "callers", service.node.traffic.callerConnections.size() } });
    service.node.stopping = true;
    service.stopRequestedAt = now();
    resign(service.node);
    checkStop(service);
}

void reloadSettings(Service& service, bool asked)
{
    const std::optional<Routing::VmSettings> settings = service.loadSettings();
    if (!settings)
        return;
    const bool changed = settings->operatingLimits != service.node.settings.operatingLimits;
    service.node.settings.operatingLimits = settings->operatingLimits;
    if (asked || changed)
        Logging::write(
            Logging::Level::Info, "settings_reloaded", { { "asked", asked }, { "changed", changed } });
}

void watchSettings(Service& service)
{
    service.settingsTimer.expires_after(settingsInterval);
    service.settingsTimer.async_wait([&service](const ErrorCode& error) {
        if (error)
            return;
        reloadSettings(service, false);
        watchSettings(service);
    });
}

void awaitSignal(Service& service)
{
    service.signals.async_wait([&service](const ErrorCode& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reloadSettings(service, true);
        else
            beginStop(service);
        awaitSignal(service);
    });
}

} // namespace Internal

void startService(Service& service)
{
    Node& node = service.node;
    node.leader.leadership.self = { node.settings.name, node.incarnation,
        { node.settings.address, node.settings.firstInternalPort } };
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        service.signals.add(signal);
    Internal::awaitSignal(service);
    service.readinessServer.handler = [&node](std::string_view) { return Internal::readinessAnswer(node); };
    startServing(service.readinessServer, toTcpEndpoint(node.settings.readinessEndpoint));
    service.metricsServer.handler
        = [&node](std::string_view target) { return Internal::metricsAnswer(node, target); };
    startServing(service.metricsServer, toTcpEndpoint({ node.settings.address, Internal::metricsPort }));
    Internal::listenForCallers(service);
    startRelay(node);
    startLoadReporting(node);
    Internal::followTopics(service);
    startLeaderElection(node);
    Internal::watchSettings(service);
}

} // namespace Edge
