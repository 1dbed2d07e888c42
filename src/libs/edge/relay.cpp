#include <edge/backlog.h>
#include <edge/clock.h>
#include <edge/configurationage.h>
#include <edge/crashreports.h>
#include <edge/leaderelection.h>
#include <edge/leaving.h>
#include <edge/limitkeeping.h>
#include <edge/relay.h>
#include <edge/relaysource.h>
#include <edge/relaysubscriber.h>
#include <edge/relaytree.h>
#include <edge/sourcelinks.h>
#include <edge/storereads.h>
#include <granting/loadreportcodec.h>
#include <relay/framecodec.h>
#include <utils/hash.h>

#include <utility>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Interval of tickRelay().
constexpr Utils::Duration relayTickInterval = std::chrono::milliseconds(200);
/// The same until the directory is loaded, or while another source must be found soon.
constexpr Utils::Duration hastyRelayTickInterval = std::chrono::milliseconds(50);

/// If the leader topic has not been read this long after the start, all topics are read from the store.
constexpr Utils::Duration startupStoreTimeout = std::chrono::seconds(1);

/// Maximum time between two updates to subscribers; without new records an empty update is the heartbeat.
constexpr Utils::Duration heartbeatInterval = std::chrono::milliseconds(300);

void tickRelay(Node& node)
{
    const Utils::Instant at = now();
    if (isRelaying(node)) {
        flushRelay(node);
        if (at - node.relay.lastUpdateSentAt >= heartbeatInterval)
            sendUpdateToSubscribers(node, {});
    }
    checkSourceLink(node, at);
    watchConfigurationAge(node, at);
    followUnconfirmedConfiguration(node);
    flushCrashReports(node);
    sampleBacklog(node, at);
    const bool isHasty = !node.clusterView.directoryLoaded || isReadingNewlyLate(node);
    const Utils::Duration interval = isHasty ? hastyRelayTickInterval : relayTickInterval;
    node.backlog.tickDueAt = now() + interval;
    node.relay.timer.expires_after(interval);
    node.relay.timer.async_wait([&node](const ErrorCode& error) {
        if (!error)
            tickRelay(node);
    });
}

void acceptSubscriber(Node& node)
{
    node.relay.acceptor.async_accept([&node](const ErrorCode& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, std::move(socket));
            configureSocket(link->socket);
            // A subscriber reads continuously; one that is gone must not count as a member.
            setAcknowledgementLimit(link->socket, true);
            node.relay.subscribers.emplace(link->id, link);
            readFrames(node, link);
        }
        acceptSubscriber(node);
    });
}

} // namespace Internal

void startRelay(Node& node)
{
    const Tcp::endpoint local = toTcpEndpoint({ node.settings.address, node.settings.firstInternalPort });
    node.relay.acceptor.open(local.protocol());
    node.relay.acceptor.set_option(Tcp::acceptor::reuse_address(true));
    node.relay.acceptor.bind(local);
    node.relay.acceptor.listen();
    // Spreads VMs that look for a source over the peers.
    node.relay.nextPeer = Utils::stableHash(node.settings.name.value);
    node.relay.peers = node.settings.seeds;
    std::erase(node.relay.peers, node.settings.address);
    startCrashReports(node);
    Internal::acceptSubscriber(node);
    Internal::tickRelay(node);
    Internal::scheduleStoreReading(node, Internal::startupStoreTimeout);
}

void handleLeaderTopicRead(Node& node) { Internal::startReadingTopics(node); }

void reportTermination(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset)
{
    if (node.relay.sourceLink && node.relay.isSubscribed)
        Internal::sendFrame(
            node, node.relay.sourceLink, Relay::encodeFrame(Relay::TerminationFrame { upstream, offset }));
}

void reportLoad(Node& node)
{
    Granting::LoadReport report;
    report.vm = node.settings.name;
    for (auto it = node.leader.requestCounts.begin(); it != node.leader.requestCounts.end(); ++it)
        report.services.push_back(it->second);
    node.leader.requestCounts.clear();
    if (report.services.empty() && node.requestLimits.unsentToSource.empty()
        && node.leaving.unsentToSource.empty() && !node.relay.relayedMembersChanged)
        return;
    if (Granting::holdsLeaderLease(node.leader.leadership, now())) {
        node.requestLimits.unsentToSource.clear();
        node.leaving.unsentToSource.clear();
        applyLoadReport(node, report);
    } else if (node.relay.sourceLink && node.relay.isSubscribed) {
        Relay::LoadFrame frame { Granting::encodeReport(report), takeNoticesForSource(node), std::nullopt };
        if (std::exchange(node.relay.relayedMembersChanged, false))
            frame.members = Internal::relayedAddresses(node);
        frame.leaving = takeLeavingForSource(node);
        Internal::sendFrame(node, node.relay.sourceLink, Relay::encodeFrame(frame));
    }
}

} // namespace Edge
