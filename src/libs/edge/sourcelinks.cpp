#include <edge/changetimes.h>
#include <edge/clock.h>
#include <edge/configurationage.h>
#include <edge/crashreports.h>
#include <edge/relaysource.h>
#include <edge/relaytree.h>
#include <edge/sourcelinks.h>
#include <edge/storereads.h>
#include <edge/topicfollowing.h>
#include <relay/framecodec.h>
#include <relay/patience.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace Edge::Internal {

using ErrorCode = boost::system::error_code;

/// A source that sends nothing for longer is considered unreachable, where changes must be in force soon. Two
/// of its heartbeats may be late, and a change still takes effect within the limits of the platform after the
/// source search that follows.
constexpr Utils::Duration minSourceTimeout = std::chrono::milliseconds(1000);

/// Minimum time between two connection attempts, and the same until the directory is loaded or while a topic
/// has become unreadable.
constexpr Utils::Duration connectInterval = std::chrono::milliseconds(600);
constexpr Utils::Duration hastyConnectInterval = std::chrono::milliseconds(50);

/// Number of peers that are asked one right after the other, and the interval after that, as the store may
/// have failed for all of them.
constexpr unsigned quickProbes = 8;
constexpr Utils::Duration slowProbeInterval = std::chrono::milliseconds(2400);

/// The same while the configuration is unconfirmed.
constexpr Utils::Duration configurationProbeInterval = std::chrono::milliseconds(500);

/// A VM that starts asks the seeds if the store has not responded by then.
constexpr Utils::Duration usualStoreLatency = std::chrono::milliseconds(300);

/// A connection to a VM of another region takes 40 ms, unless the link is saturated.
constexpr Utils::Duration connectTimeout = std::chrono::milliseconds(700);

bool isDisconnectedFromLeaderAndStore(const Node& node)
{
    return !node.relay.isSubscribed && (isStoreFailing(node) || isReadingLate(node));
}

bool isStartingWithoutStore(const Node& node, Utils::Instant at)
{
    return !node.clusterView.directoryLoaded && node.topicFollowers.leader.lastResponseAt == Utils::Instant {}
    && at - node.startedAt > usualStoreLatency;
}

void subscribe(Node& node, const LinkPtr& link)
{
    configureSocket(link->socket);
    setAcknowledgementLimit(link->socket, true);
    Relay::Subscription subscription;
    subscription.vm = node.settings.name;
    subscription.configurations = node.topicFollowers.configurations.nextOffset.value_or(0);
    subscription.reports = now() < node.clusterView.mayMissUpstreamsUntil
        ? 0
        : node.topicFollowers.reports.nextOffset.value_or(0);
    subscription.assignments = node.topicFollowers.assignments.nextOffset.value_or(0);
    subscription.storeIsLocal = !isStoreRemote(node);
    subscription.zone = node.settings.zone;
    subscription.followsRedirects = true;
    subscription.isRedirected = !link->relayAddress.empty();
    subscription.subscribers = static_cast<std::uint32_t>(relayedAddresses(node).size());
    subscription.relayFailed = hasRelayFailed(node);
    subscription.cpuPercent = static_cast<std::uint8_t>(std::clamp(node.settings.cpuShare * 100, 0.0, 255.0));
    subscription.linkMegabits = node.settings.linkMegabits;
    node.relay.relayedMembersChanged = subscription.subscribers > 0;
    link->requestedAllReports = subscription.reports == 0;
    if (node.relay.sourceLink == link)
        node.relay.lastReceivedAt = now();
    sendFrame(node, link, Relay::encodeFrame(subscription));
    link->subscribed = true;
    link->subscribedAt = now();
    readFrames(node, link);
}

/// Connects \a link to \a endpoint and subscribes.
void openLink(Node& node, const LinkPtr& link, const Routing::Endpoint& endpoint)
{
    // The source sends the remote address of this link to other VMs as the address of this VM.
    ErrorCode error;
    link->socket.open(Tcp::v4(), error);
    link->socket.bind(toTcpEndpoint({ node.settings.address, 0 }), error);
    if (error) {
        closeLink(node, link, "bind");
        return;
    }
    link->socket.async_connect(toTcpEndpoint(endpoint), [&node, link](const ErrorCode& error) {
        if (!isOpen(node, *link))
            return;
        if (error)
            closeLink(node, link, "connect");
        else
            subscribe(node, link);
    });
}

void connectTo(Node& node, const Utils::VmId& vm, const Routing::Endpoint& endpoint)
{
    const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, Tcp::socket(node.context));
    link->vm = vm;
    node.relay.sourceLink = link;
    node.relay.lastConnectAttemptAt = now();
    node.relay.lastReceivedAt = now();
    openLink(node, link, endpoint);
}

/// The next peer in turn; nothing if there is none.
std::optional<Routing::Endpoint> nextPeer(Node& node)
{
    RelayState& relay = node.relay;
    for (std::size_t skipped = 0; skipped < relay.peers.size(); ++skipped) {
        const std::string address = relay.peers[relay.nextPeer++ % relay.peers.size()];
        if (address != node.settings.address)
            return Routing::Endpoint { address, node.settings.firstInternalPort };
    }
    return std::nullopt;
}

/// Connects to the next peer, to subscribe to it or to learn who the leader is.
void connectToNextPeer(Node& node)
{
    if (const std::optional<Routing::Endpoint> peer = nextPeer(node))
        connectTo(node, {}, *peer);
}

/// Whether the configuration is unconfirmed and the store does not confirm it at once.
///
/// Load pattern: the store rejects a part of the VMs, and the leader is lost or rejected, too. All others can
/// read the configurations, although none of them may be a source yet.
bool needsConfiguration(const Node& node, Utils::Instant at)
{
    const TopicFollower& topic = node.topicFollowers.configurations;
    const bool isReading = !topic.paused && topic.consecutiveFailures == 0
        && at - std::max(topic.startedAt, topic.lastResponseAt) < usualStoreLatency;
    return isConfigurationUnconfirmed(node, at) && !isReading;
}

/// Whether this VM has no fresh source and can't do without one, although a link is open or being opened.
///
/// Load pattern: the store rejects a part of the VMs, the leader among them. Those that stay with the leader,
/// as they can't read the store either, have subscribers of their own, while others could be their source.
bool needsSource(const Node& node)
{
    return node.relay.sourceLink && !node.relay.isSubscribed
        && !Granting::holdsLeaderLease(node.leader.leadership, now()) && !hasFreshReads(node);
}

/// The time between two probes.
Utils::Duration probeInterval(const Node& node, Utils::Instant at)
{
    if (node.relay.probes < quickProbes)
        return hastyConnectInterval;
    return needsConfiguration(node, at) ? configurationProbeInterval : slowProbeInterval;
}

/// The next of all known VMs, in an order in which neighbours are of different availability zones.
std::optional<Routing::Endpoint> nextMember(Node& node)
{
    constexpr std::size_t stride = 37;
    const std::map<std::string, Utils::Instant>& members = node.relay.members;
    if (members.empty())
        return nextPeer(node);
    const std::size_t index = node.relay.nextPeer++ * stride % members.size();
    const std::string& address = std::next(members.begin(), static_cast<std::ptrdiff_t>(index))->first;
    if (address == node.settings.address)
        return std::nullopt;
    return Routing::Endpoint { address, node.settings.firstInternalPort };
}

/// Asks peers whether they are a source, one at a time and beside the link to the leader.
void checkProbeLink(Node& node, Utils::Instant at)
{
    RelayState& relay = node.relay;
    const bool isNeeded
        = node.clusterView.directoryLoaded && (needsSource(node) || needsConfiguration(node, at));
    if (!isNeeded) {
        if (relay.probeLink)
            closeLink(node, LinkPtr(relay.probeLink), "superseded");
        return;
    }
    if (relay.probeLink) {
        if (at - relay.lastProbeAt > connectTimeout)
            closeLink(node, LinkPtr(relay.probeLink), "connect_timeout");
        return;
    }
    if (at - relay.lastProbeAt < probeInterval(node, at))
        return;
    // The peers read the store, but may be in another region; any VM may know the configuration.
    const std::optional<Routing::Endpoint> peer
        = needsConfiguration(node, at) ? nextMember(node) : nextPeer(node);
    if (!peer)
        return;
    ++relay.probes;
    relay.lastProbeAt = at;
    const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, Tcp::socket(node.context));
    relay.probeLink = link;
    openLink(node, link, *peer);
}

/// Makes the peer at the other end of the probe the source.
void promoteProbe(Node& node)
{
    const LinkPtr former = std::exchange(node.relay.sourceLink, std::exchange(node.relay.probeLink, nullptr));
    node.relay.lastReceivedAt = now();
    if (former)
        closeLink(node, former, "superseded");
}

void checkSourceLink(Node& node, Utils::Instant at)
{
    RelayState& relay = node.relay;
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.lastRecord;
    const bool otherVmLeads = leader && !leader->vm.value.empty() && leader->vm != node.settings.name;
    const bool isLeader = Granting::holdsLeaderLease(node.leader.leadership, at);
    const bool isPeerLink = relay.sourceLink && relay.sourceLink->vm.value.empty();
    if (relay.sourceLink
        && (isLeader || (!isPeerLink && (!otherVmLeads || relay.sourceLink->vm != leader->vm)))) {
        closeLink(node, LinkPtr(relay.sourceLink), "superseded");
        return;
    }
    if (relay.sourceLink
        && at - relay.lastReceivedAt > Relay::silentSourceTimeout(changeTimeout(node), minSourceTimeout)) {
        closeLink(node, LinkPtr(relay.sourceLink), silentReason);
        return;
    }
    if (relay.sourceLink && !relay.sourceLink->subscribed && at - relay.lastReceivedAt > connectTimeout) {
        closeLink(node, LinkPtr(relay.sourceLink), "connect_timeout");
        return;
    }
    checkProbeLink(node, at);
    const bool isHasty = !node.clusterView.directoryLoaded || isReadingNewlyLate(node);
    const Utils::Duration interval = isHasty ? hastyConnectInterval : connectInterval;
    if (relay.sourceLink || isLeader || at - relay.lastConnectAttemptAt <= interval)
        return;
    // Every second attempt goes to a peer while neither the leader nor the store can be reached.
    const bool isAlone = isDisconnectedFromLeaderAndStore(node) || isStartingWithoutStore(node, at);
    if (isAlone && !otherVmLeads && at - relay.lastConnectAttemptAt <= connectInterval)
        return;
    const bool usePeer = std::exchange(relay.connectToPeerNext, !relay.connectToPeerNext && isAlone)
        || (isAlone && !otherVmLeads);
    if (usePeer && !relay.peers.empty())
        connectToNextPeer(node);
    else if (otherVmLeads)
        connectTo(node, leader->vm, leader->loadReportEndpoint);
}

} // namespace Edge::Internal
