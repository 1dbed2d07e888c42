#include <edge/clusterviewupdates.h>
#include <edge/clock.h>
#include <edge/topicfollowing.h>
#include <edge/relay.h>
#include <edge/relaysubscriber.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <platform/storecalls.h>
#include <relay/framecodec.h>
#include <utils/hash.h>

#include <boost/leaf.hpp>
#include <algorithm>
#include <utility>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Relay::RelayTopic;

/// A leader that is silent for longer is not relied upon: two of its words may be late, and with what follows
/// a change still arrives within the bounds of the platform.
constexpr Utils::Duration longestSilence = std::chrono::milliseconds(1000);

/// A VM far from the store looks for a source for this long before it reads the store itself. With the time
/// in which a silent leader is found out, this is part of the time in which a change comes into force.
constexpr Utils::Duration farPatience = std::chrono::milliseconds(600);

/// The same at the start; a leader that starts anew can be asked within a tenth of a second. The spread keeps
/// VMs far from the store from reading it together.
constexpr Utils::Duration farStartPatience = std::chrono::milliseconds(1500);
constexpr Utils::Duration farStartSpread = std::chrono::milliseconds(1500);

/// Between two tries to reach the leader, and for a VM that knows nothing yet.
constexpr Utils::Duration connectInterval = std::chrono::milliseconds(600);
constexpr Utils::Duration firstConnectInterval = std::chrono::milliseconds(50);

/// Bytes of a configuration that are much for the links between regions when many VMs fetch them.
constexpr std::size_t largeConfiguration = 50000;

/// Most of a lease: another VM is likely to lead by then.
constexpr Utils::Duration largePause = std::chrono::milliseconds(1500);
/// All VMs of a region fetch 280 KB each over 60 Mbit/s in less.
constexpr Utils::Duration largePatience = std::chrono::milliseconds(3800);

Platform::StoreRecord toStoreRecord(const Relay::RelayRecord& record)
{
    return { record.offset, record.key, record.value };
}

/// Moves on where a topic is read when the store is read again.
void advance(TopicFollower& follower, Utils::Offset offset)
{
    follower.nextOffset = std::max(follower.nextOffset.value_or(0), offset + 1);
}

/// False if what the record builds on is not known here.
bool takeRecord(Node& node, const Relay::RelayRecord& record)
{
    switch (record.topic) {
    case RelayTopic::Configurations:
        applyConfigurations(node, { toStoreRecord(record) });
        advance(node.topicFollowers.configurations, record.offset);
        break;
    case RelayTopic::Reports:
        if (record.value)
            applyUpstreamReports(node, { toStoreRecord(record) });
        else
            applyUpstreamRemoval(node, { record.key }, record.offset);
        break;
    case RelayTopic::Assignments:
        applyAssignments(node, { toStoreRecord(record) });
        advance(node.topicFollowers.assignments, record.offset);
        break;
    case RelayTopic::AssignmentDeltas:
        if (applyAssignmentDelta(node, record.value.value_or("")))
            advance(node.topicFollowers.assignments, record.offset);
        else
            return false;
        break;
    }
    return true;
}

/// Load pattern: a leader is lost while a large configuration changes again and again, and all VMs of the
/// other regions fetch it over the links between regions. They fetch the newest, and the next one only after
/// a pause.
bool isFarAndLarge(const Node& node)
{
    const auto found = node.relay.newestRecords.find(
        { RelayTopic::Configurations, std::string(Platform::configurationKey) });
    const bool large = found != node.relay.newestRecords.end() && found->second.value
        && found->second.value->size() > largeConfiguration;
    return large && node.minStoreLatency > maxLocalStoreLatency;
}

bool isFar(const Node& node) { return node.minStoreLatency > maxLocalStoreLatency; }

/// Whether the leader's link fails and the store does not answer either.
bool isCutOff(const Node& node)
{
    return !node.relay.isSubscribed && node.topicFollowers.leader.consecutiveFailures > 1;
}

/// Whether other VMs should be asked for what is new rather than the store.
bool seeksSource(const Node& node)
{
    return isFar(node) && !node.relay.peers.empty()
        && !Granting::holdsLeaderLease(node.leader.leadership, now());
}

void resumeTopics(Node& node)
{
    resumeFollowing(node, node.topicFollowers.reports);
    resumeFollowing(node, node.topicFollowers.configurations);
    resumeFollowing(node, node.topicFollowers.assignments);
}

void scheduleStoreReading(Node& node, Utils::Duration wait)
{
    node.relay.storeReadTimer.expires_after(wait);
    node.relay.storeReadTimer.async_wait([&node](const ErrorCode& error) {
        if (!error && !node.relay.isSubscribed)
            resumeTopics(node);
    });
}

void startReadingTopics(Node& node)
{
    if (node.relay.readingStarted)
        return;
    node.relay.readingStarted = true;
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.lastRecord;
    const bool other
        = leader && !leader->vm.value.empty() && leader->loadReportEndpoint.address != node.settings.address;
    if (other && isFar(node)) {
        constexpr std::uint64_t steps = 1024;
        const std::uint64_t step = Utils::stableHash(node.settings.name.value) % steps;
        scheduleStoreReading(node, farStartPatience + farStartSpread * step / steps);
    } else {
        node.relay.storeReadTimer.cancel();
        resumeTopics(node);
    }
    checkSourceLink(node, now());
}

void fallBackToStore(Node& node)
{
    if (!node.relay.isSubscribed)
        return;
    node.relay.isSubscribed = false;
    const bool patient = isFarAndLarge(node);
    node.topicFollowers.configurations.readInterval = patient ? largePause : Utils::Duration::zero();
    node.topicFollowers.configurations.extraSnapshotTimeout
        = patient ? largePatience : Utils::Duration::zero();
    Logging::write(Logging::Level::Warning, "dependency_lost",
        { { "dependency", node.relay.usesFallbackSource ? "source" : "leader" } });
    resumeFollowing(node, node.topicFollowers.leader);
    if (!seeksSource(node)) {
        resumeTopics(node);
        return;
    }
    node.relay.connectToPeerNext = true;
    node.relay.lastConnectAttemptAt = {};
    scheduleStoreReading(node, farPatience);
}

void handleSourceDisconnected(Node& node)
{
    fallBackToStore(node);
    const bool seeking = !node.relay.isSubscribed && node.topicFollowers.reports.paused && seeksSource(node);
    if (!seeking)
        return;
    node.relay.connectToPeerNext = true;
    node.relay.lastConnectAttemptAt = {};
}

void relyOnSource(Node& node, const RelayLink& link)
{
    if (node.relay.isSubscribed)
        return;
    node.relay.isSubscribed = true;
    node.relay.usesFallbackSource = link.vm.value.empty();
    node.relay.storeReadTimer.cancel();
    Logging::write(Logging::Level::Info, "dependency_regained",
        { { "dependency", node.relay.usesFallbackSource ? "source" : "leader" }, { "vm", link.vm.value } });
    pauseFollowing(node, node.topicFollowers.leader);
    pauseFollowing(node, node.topicFollowers.reports);
    pauseFollowing(node, node.topicFollowers.configurations);
    pauseFollowing(node, node.topicFollowers.assignments);
    redirectSubscribersToLeader(node);
}

/// Notes how far the source has read, as its word comes after all that it has passed on.
void noteReadUpTo(Node& node, const RelayLink& link, const Relay::Update& update)
{
    TopicFollower& reports = node.topicFollowers.reports;
    if (reports.nextOffset)
        reports.nextOffset = std::max(*reports.nextOffset, update.reportsEnd);
    if (!link.requestedAllReports || !update.isFresh || node.clusterView.directoryLoaded
        || !node.clusterView.routeTable)
        return;
    reports.nextOffset = update.reportsEnd;
    node.clusterView.directoryLoaded = true;
}

void handleUpdate(Node& node, const LinkPtr& link, const Relay::Update& update)
{
    node.relay.lastReceivedAt = now();
    node.relay.vmCount = update.vmCount;
    const std::optional<Granting::LeaderRecord> leader = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Granting::LeaderRecord>> {
            BOOST_LEAF_AUTO(record, Granting::decodeLeader(update.leader));
            return std::optional<Granting::LeaderRecord>(record);
        },
        []() { return std::optional<Granting::LeaderRecord>(); });
    if (!leader) {
        closeLink(node, link, "leader_unreadable");
        return;
    }
    for (const Relay::RelayRecord& record : update.records) {
        if (takeRecord(node, record))
            continue;
        // A new subscription brings what is missing.
        closeLink(node, link, "delta_without_base");
        node.relay.lastConnectAttemptAt = {};
        return;
    }
    if (!update.peers.empty())
        node.relay.peers = update.peers;
    Granting::recordLogRead(node.leader.leadership, update.leaderTopicEnd, leader, now());
    // A VM that is no source answers once, with who leads.
    if (!update.senderIsSource) {
        closeLink(node, link, "leader_named");
        node.relay.lastConnectAttemptAt = {};
        return;
    }
    noteReadUpTo(node, *link, update);
    if (update.isFresh && node.clusterView.routeTable && node.clusterView.directoryLoaded)
        relyOnSource(node, *link);
    if (update.isFresh)
        return;
    fallBackToStore(node);
    if (seeksSource(node) && !isCutOff(node))
        closeLink(node, link, "not_fresh");
}

void subscribe(Node& node, const LinkPtr& link)
{
    configureSocket(link->socket);
    Relay::Subscription subscription;
    subscription.vm = node.settings.name;
    subscription.configurations = node.topicFollowers.configurations.nextOffset.value_or(0);
    subscription.reports = node.topicFollowers.reports.nextOffset.value_or(0);
    subscription.assignments = node.topicFollowers.assignments.nextOffset.value_or(0);
    subscription.storeIsLocal = !isFar(node);
    link->requestedAllReports = subscription.reports == 0;
    node.relay.lastReceivedAt = now();
    sendFrame(node, link, Relay::encodeFrame(subscription));
    readFrames(node, link);
}

void connectTo(Node& node, const Utils::VmId& vm, const Routing::Endpoint& endpoint)
{
    node.relay.lastConnectAttemptAt = now();
    const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, Tcp::socket(node.context));
    link->vm = vm;
    node.relay.sourceLink = link;
    node.relay.lastReceivedAt = now();
    // The address that others are told to find this VM at.
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

/// Asks another VM for what is new, or who leads.
void askPeer(Node& node)
{
    RelayState& relaying = node.relay;
    const std::string address = relaying.peers[relaying.nextPeer++ % relaying.peers.size()];
    if (address != node.settings.address)
        connectTo(node, {}, { address, node.settings.firstInternalPort });
}

void checkSourceLink(Node& node, Utils::Instant at)
{
    RelayState& relaying = node.relay;
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.lastRecord;
    const bool other = leader && !leader->vm.value.empty() && leader->vm != node.settings.name;
    const bool leads = Granting::holdsLeaderLease(node.leader.leadership, at);
    const bool asking = relaying.sourceLink && relaying.sourceLink->vm.value.empty();
    if (relaying.sourceLink && (leads || (!asking && (!other || relaying.sourceLink->vm != leader->vm)))) {
        closeLink(node, LinkPtr(relaying.sourceLink), "superseded");
        return;
    }
    if (relaying.sourceLink && at - relaying.lastReceivedAt > longestSilence) {
        closeLink(node, LinkPtr(relaying.sourceLink), "silent");
        return;
    }
    const Utils::Duration interval
        = node.clusterView.directoryLoaded ? connectInterval : firstConnectInterval;
    if (relaying.sourceLink || leads || at - relaying.lastConnectAttemptAt <= interval)
        return;
    // Every second try goes to another VM while neither leader nor store can be reached.
    const bool ask = std::exchange(relaying.connectToPeerNext, !relaying.connectToPeerNext && isCutOff(node));
    if (ask && !relaying.peers.empty())
        askPeer(node);
    else if (other)
        connectTo(node, leader->vm, leader->loadReportEndpoint);
}

} // namespace Internal

} // namespace Edge
