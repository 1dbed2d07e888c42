#include <edge/clock.h>
#include <edge/leading.h>
#include <edge/relay.h>
#include <edge/relaysource.h>
#include <edge/relaymember.h>
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
    if (passesOn(node)) {
        flushRelay(node);
        if (at - node.relaying.saidAt >= wordInterval)
            sendToAll(node, {});
    }
    checkLeaderLink(node, at);
    node.relaying.timer.expires_after(node.beliefs.directoryLoaded ? relayTick : firstRelayTick);
    node.relaying.timer.async_wait([&node](const ErrorCode& error) {
        if (!error)
            tickRelay(node);
    });
}

void acceptMember(Node& node)
{
    node.relaying.acceptor.async_accept([&node](const ErrorCode& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, std::move(socket));
            tuneSocket(link->socket);
            node.relaying.members.emplace(link->id, link);
            readFrames(node, link);
        }
        acceptMember(node);
    });
}

} // namespace Internal

void startRelay(Node& node)
{
    const Tcp::endpoint local = toTcp({ node.settings.address, node.settings.firstInternalPort });
    node.relaying.acceptor.open(local.protocol());
    node.relaying.acceptor.set_option(Tcp::acceptor::reuse_address(true));
    node.relaying.acceptor.bind(local);
    node.relaying.acceptor.listen();
    // VMs that look for a source do not all ask the same.
    node.relaying.nextPeer = Utils::stableHash(node.settings.name.value);
    Internal::acceptMember(node);
    Internal::tickRelay(node);
    Internal::readStoreAfter(node, Internal::silentStorePatience);
}

void noteLeaderKnown(Node& node) { Internal::beginReading(node); }

void reportLoss(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset)
{
    if (node.relaying.toLeader && node.relaying.relied)
        Internal::sendFrame(
            node, node.relaying.toLeader, Relay::encodeFrame(Relay::LossFrame { upstream, offset }));
}

void reportLoad(Node& node)
{
    Granting::LoadReport report;
    report.vm = node.settings.name;
    for (auto it = node.leader.counted.begin(); it != node.leader.counted.end(); ++it)
        report.services.push_back(it->second);
    node.leader.counted.clear();
    if (report.services.empty())
        return;
    if (Granting::mayLead(node.leader.leadership, now()))
        takeLoadReport(node, report);
    else if (node.relaying.toLeader && node.relaying.relied)
        Internal::sendFrame(node, node.relaying.toLeader,
            Relay::encodeFrame(Relay::LoadFrame { Granting::encodeReport(report) }));
}

} // namespace Edge
