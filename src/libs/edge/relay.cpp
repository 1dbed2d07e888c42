#include <edge/clock.h>
#include <edge/leaderelection.h>
#include <edge/relay.h>
#include <edge/relaysource.h>
#include <edge/relaysubscriber.h>
#include <granting/loadreportcodec.h>
#include <relay/framecodec.h>
#include <utils/hash.h>

namespace Edge {

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Between two looks at the link to the leader.
constexpr Utils::Duration relayTick = std::chrono::milliseconds(200);
/// The same while nothing is known yet.
constexpr Utils::Duration firstRelayTick = std::chrono::milliseconds(50);

/// At the start all topics are read when the leader's has not been answered by then.
constexpr Utils::Duration silentStorePatience = std::chrono::seconds(1);

/// Longest silence of a leader that has nothing new to say.
constexpr Utils::Duration wordInterval = std::chrono::milliseconds(300);

void tickRelay(Node& node)
{
    const Utils::Instant at = now();
    if (isRelaying(node)) {
        flushRelay(node);
        if (at - node.relay.lastUpdateSentAt >= wordInterval)
            sendUpdateToSubscribers(node, {});
    }
    checkSourceLink(node, at);
    node.relay.timer.expires_after(node.clusterView.directoryLoaded ? relayTick : firstRelayTick);
    node.relay.timer.async_wait([&node](const ErrorCode& error) {
        if (!error)
            tickRelay(node);
    });
}

void acceptMember(Node& node)
{
    node.relay.acceptor.async_accept([&node](const ErrorCode& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, std::move(socket));
            configureSocket(link->socket);
            node.relay.subscribers.emplace(link->id, link);
            readFrames(node, link);
        }
        acceptMember(node);
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
    // VMs that look for a source do not all ask the same.
    node.relay.nextPeer = Utils::stableHash(node.settings.name.value);
    Internal::acceptMember(node);
    Internal::tickRelay(node);
    Internal::scheduleStoreReading(node, Internal::silentStorePatience);
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
    if (report.services.empty())
        return;
    if (Granting::holdsLeaderLease(node.leader.leadership, now()))
        applyLoadReport(node, report);
    else if (node.relay.sourceLink && node.relay.isSubscribed)
        Internal::sendFrame(node, node.relay.sourceLink,
            Relay::encodeFrame(Relay::LoadFrame { Granting::encodeReport(report) }));
}

} // namespace Edge
