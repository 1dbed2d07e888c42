#include <edge/clusterviewupdates.h>
#include <edge/callers.h>
#include <edge/clock.h>
#include <edge/exchanges.h>
#include <edge/topicfollowing.h>
#include <edge/leaderelection.h>
#include <edge/metricspage.h>
#include <edge/peerforwarding.h>
#include <edge/relay.h>
#include <edge/loadreporting.h>
#include <edge/service.h>
#include <edge/topics.h>
#include <edge/waitingrequests.h>
#include <logging/log.h>
#include <utils/hash.h>

#include <boost/asio/ip/address.hpp>

#include <csignal>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Port for metrics; the deployment description states the same port.
constexpr std::uint16_t metricsPort = 9464;
/// Long-poll timeouts: a read returns when a record arrives or after this time, which also shows that the
/// store can be read. A read that is pending when the store begins to reject VMs may get no response, so that
/// the timeout adds to the time until a change is in force.
constexpr Utils::Duration reportsLongPollTimeout = std::chrono::milliseconds(700);
constexpr Utils::Duration configurationsLongPollTimeout = std::chrono::milliseconds(700);
constexpr Utils::Duration leaderLongPollTimeout = std::chrono::seconds(3);
/// Reads the reports of upstreams that change together at once; small against the drain timeout.
constexpr Utils::Duration reportsReadInterval = std::chrono::milliseconds(150);
/// A standby does not need each lease renewal immediately, as long as it reads some within the lease
/// duration.
constexpr Utils::Duration leaderReadInterval = std::chrono::milliseconds(600);
/// After a stop request, connections are accepted until the load balancer has seen two failed readiness
/// checks, which are one second apart.
constexpr Utils::Duration loadBalancerRemovalDelay = std::chrono::milliseconds(2600);
/// Part of the termination grace period that is left when the process aborts the requests still in flight.
constexpr Utils::Duration shutdownReserve = std::chrono::milliseconds(300);
constexpr Utils::Duration stopCheckInterval = std::chrono::milliseconds(50);
/// Part of the reserve for writing the responses to aborted requests.
constexpr Utils::Duration abortFlushTime = std::chrono::milliseconds(150);
/// Time before the abort at which requests that arrive during a stop have to be answered.
constexpr Utils::Duration stopDeadlineMargin = std::chrono::milliseconds(100);
/// The settings are also polled, as they may change without a SIGHUP.
constexpr Utils::Duration settingsReloadInterval = std::chrono::seconds(3);

bool isReady(const Node& node)
{
    return !node.stopping && node.clusterView.routeTable && node.clusterView.directoryLoaded;
}

HttpResponse makeReadinessResponse(const Node& node)
{
    HttpResponse response(isReady(node) ? http::status::ok : http::status::service_unavailable, 11);
    return response;
}

HttpResponse makeMetricsResponse(const Node& node, std::string_view target)
{
    const bool isKnownTarget = target == "/metrics";
    HttpResponse response(isKnownTarget ? http::status::ok : http::status::not_found, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    if (isKnownTarget)
        response.body() = renderMetricsPage(node);
    return response;
}

void startTopicFollowers(Service& service)
{
    Node& node = service.node;
    TopicFollowers& followers = node.topicFollowers;
    followers.configurations.topic = Platform::operatorTopic;
    followers.configurations.longPollTimeout = configurationsLongPollTimeout;
    followers.configurations.newestOnly = true;
    followers.configurations.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyOperatorRecords(node, records); };
    followers.configurations.onSnapshot
        = [&node](const std::vector<Platform::StoreRecord>& records, Utils::Offset end) {
              applyOperatorSnapshot(node, records, end);
          };
    followers.configurations.onRead
        = [&node](Utils::Offset) { node.clusterView.operatorRecordsReadAt = now(); };
    followers.reports.topic = Platform::serversTopic;
    followers.reports.longPollTimeout = reportsLongPollTimeout;
    followers.reports.readInterval = reportsReadInterval;
    followers.reports.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyUpstreamReports(node, records); };
    followers.reports.onSnapshot = [&node](const std::vector<Platform::StoreRecord>& records,
                                       Utils::Offset end) { applyUpstreamSnapshot(node, records, end); };
    followers.assignments.topic = assignmentTopic;
    followers.assignments.longPollTimeout = configurationsLongPollTimeout;
    followers.assignments.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyAssignments(node, records); };
    followers.assignments.onSnapshot = [&node](const std::vector<Platform::StoreRecord>& records,
                                           Utils::Offset) { applyAssignments(node, records); };
    followers.leader.topic = leaderTopic;
    followers.leader.longPollTimeout = leaderLongPollTimeout;
    followers.leader.readInterval = leaderReadInterval;
    followers.leader.onRecords
        = [&node](const std::vector<Platform::StoreRecord>& records) { applyLeaderRecords(node, records); };
    followers.leader.onRead = [&node](Utils::Offset end) {
        recordLeaderTopicEnd(node, end);
        handleLeaderTopicRead(node);
    };
    // The other topics are read once the leader is known.
    followers.configurations.paused = true;
    followers.reports.paused = true;
    followers.assignments.paused = true;
    startFollowing(node, followers.leader);
}

void acceptNext(Service& service, Tcp::acceptor& acceptor, bool isPeer)
{
    acceptor.async_accept([&service, &acceptor, isPeer](const ErrorCode& error, Tcp::socket socket) {
        // A connection may have been accepted just before the acceptor was closed.
        if (!error)
            acceptCaller(service.node, std::move(socket), isPeer);
        if (error != boost::asio::error::operation_aborted && acceptor.is_open())
            acceptNext(service, acceptor, isPeer);
    });
}

void listenOn(Service& service, Tcp::acceptor& acceptor, const Tcp::endpoint& endpoint, bool isPeer)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    acceptNext(service, acceptor, isPeer);
}

void listenForCallers(Service& service)
{
    const Routing::VmSettings& settings = service.node.settings;
    listenOn(service, service.callerAcceptor, toTcpEndpoint(settings.callerEndpoint), false);
    if (const std::uint16_t port = forwardingPort(settings))
        listenOn(service, service.peerAcceptor, toTcpEndpoint({ settings.address, port }), true);
}

/// Accepts the connections that callers have opened already, as closing the acceptor would reset them.
void closeAcceptor(Node& node, Tcp::acceptor& acceptor, bool isPeer)
{
    ErrorCode error;
    acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(node.context);
        acceptor.accept(socket, error);
        if (!error)
            acceptCaller(node, std::move(socket), isPeer);
    }
    acceptor.close(error);
}

void checkStopProgress(Service& service)
{
    Node& node = service.node;
    const Utils::Duration elapsed = now() - service.stopRequestedAt;
    const Utils::Duration abortAfter = node.settings.operatingLimits.terminationGracePeriod - shutdownReserve;
    if (!node.closing && elapsed >= loadBalancerRemovalDelay) {
        node.closing = true;
        closeAcceptor(node, service.callerAcceptor, false);
        closeAcceptor(node, service.peerAcceptor, true);
        reconsiderWaitingRequests(node);
    }
    if (node.closing)
        closeIdleCallers(node);
    if (elapsed >= abortAfter && !node.traffic.exchanges.empty()) {
        Logging::write(Logging::Level::Warning, "requests_aborted",
            { { "after_ms", Utils::toMilliseconds(elapsed) },
                { "requests", node.traffic.exchanges.size() } });
        abortExchanges(node);
    }
    if (elapsed >= abortAfter + abortFlushTime || (node.closing && node.traffic.callerConnections.empty())) {
        Logging::write(Logging::Level::Info, "stopped",
            { { "after_ms", Utils::toMilliseconds(elapsed) }, { "cut", node.traffic.exchanges.size() } });
        node.context.stop();
        return;
    }
    service.stopTimer.expires_after(stopCheckInterval);
    service.stopTimer.async_wait([&service](const ErrorCode& error) {
        if (!error)
            checkStopProgress(service);
    });
}

void beginShutdown(Service& service)
{
    if (service.node.stopping)
        return;
    Logging::write(Logging::Level::Info, "stopping",
        { { "requests", service.node.traffic.exchanges.size() },
            { "callers", service.node.traffic.callerConnections.size() } });
    service.node.stopping = true;
    service.stopRequestedAt = now();
    service.node.stopDeadline = service.stopRequestedAt
        + service.node.settings.operatingLimits.terminationGracePeriod - shutdownReserve - stopDeadlineMargin;
    resign(service.node, "resigned");
    checkStopProgress(service);
}

void reloadSettings(Service& service, bool requested)
{
    const std::optional<Routing::VmSettings> settings = service.loadSettings();
    if (!settings)
        return;
    const bool changed = settings->operatingLimits != service.node.settings.operatingLimits;
    service.node.settings.operatingLimits = settings->operatingLimits;
    if (requested || changed)
        Logging::write(
            Logging::Level::Info, "settings_reloaded", { { "asked", requested }, { "changed", changed } });
}

void scheduleSettingsReload(Service& service)
{
    service.settingsTimer.expires_after(settingsReloadInterval);
    service.settingsTimer.async_wait([&service](const ErrorCode& error) {
        if (error)
            return;
        reloadSettings(service, false);
        scheduleSettingsReload(service);
    });
}

void waitForSignal(Service& service)
{
    service.signals.async_wait([&service](const ErrorCode& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reloadSettings(service, true);
        else
            beginShutdown(service);
        waitForSignal(service);
    });
}

} // namespace Internal

void startService(Service& service)
{
    Node& node = service.node;
    node.leader.leadership.self = { node.settings.name, node.incarnation,
        { node.settings.address, node.settings.firstInternalPort } };
    node.leader.leadership.isFirstStart = node.settings.isFirstStart;
    node.traffic.splitState.phase = Utils::stableHash(node.settings.name.value);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        service.signals.add(signal);
    Internal::waitForSignal(service);
    service.readinessServer.handler
        = [&node](std::string_view) { return Internal::makeReadinessResponse(node); };
    startServing(service.readinessServer, toTcpEndpoint(node.settings.readinessEndpoint));
    service.metricsServer.handler
        = [&node](std::string_view target) { return Internal::makeMetricsResponse(node, target); };
    startServing(service.metricsServer, toTcpEndpoint({ node.settings.address, Internal::metricsPort }));
    Internal::listenForCallers(service);
    startRelay(node);
    startLoadReporting(node);
    Internal::startTopicFollowers(service);
    startLeaderElection(node);
    Internal::scheduleSettingsReload(service);
}

} // namespace Edge
