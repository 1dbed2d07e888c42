#include <edge/clock.h>
#include <edge/crashreports.h>
#include <edge/members.h>
#include <edge/leaderelection.h>
#include <edge/limitkeeping.h>
#include <edge/relay.h>
#include <edge/relaysource.h>
#include <granting/assignmentdelta.h>
#include <granting/loadreportcodec.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <relay/framecodec.h>

#include <boost/leaf.hpp>
#include <algorithm>
#include <utility>

namespace Edge {

namespace leaf = boost::leaf;

/// Minimum time between two relayed configurations; a small part of the time in which one has to take effect.
constexpr Utils::Duration configurationRelayInterval = std::chrono::milliseconds(500);

namespace Internal {

using ErrorCode = boost::system::error_code;
using Relay::RelayTopic;

/// VMs that start together have subscribed to the leader by then.
constexpr Utils::Duration subscriberJoinPeriod = std::chrono::seconds(5);

/// Maximum number of addresses that are sent to subscribers.
constexpr std::size_t maxPeers = 32;

/// Maximum age of the cached first update for VMs without records; about one heartbeat interval.
constexpr Utils::Duration maxInitialFrameAge = std::chrono::milliseconds(250);

/// The last read of the store by a source is considered fresh for this long. A long poll takes 700 ms, and
/// the network latency to the store may be 40 ms. This detects a leader with a half-open connection to the
/// store.
constexpr Utils::Duration maxFreshReadAge = std::chrono::milliseconds(1150);

bool hasFreshRead(const Node& node)
{
    const TopicFollower& reports = node.topicFollowers.reports;
    return reports.consecutiveFailures == 0 && now() - reports.lastResponseAt < maxFreshReadAge;
}

bool isLeader(const Node& node) { return Granting::holdsLeaderLease(node.leader.leadership, now()); }

bool isRelaySource(const Node& node)
{
    const bool readsStore = !node.relay.isSubscribed && node.clusterView.routeTable
        && node.clusterView.directoryLoaded && node.topicFollowers.assignments.nextOffset;
    return isLeader(node) || (readsStore && hasFreshRead(node));
}

/// First offset of the reports topic that has not been read. Returns 0 while the removal of a missing
/// upstream waits for the end of its grace period, as it has not been relayed yet.
Utils::Offset relayedReportsEnd(const Node& node)
{
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    const bool isRemovalPending = std::any_of(directory.entries.begin(), directory.entries.end(),
        [](const std::pair<const Utils::UpstreamId, Routing::DirectoryEntry>& entry) {
            return entry.second.missingSince && !entry.second.isExpired;
        });
    return isRemovalPending ? 0 : node.topicFollowers.reports.nextOffset.value_or(0);
}

Relay::Update makeUpdate(const Node& node, std::vector<Relay::RelayRecord> records)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    Relay::Update update;
    update.leader = Granting::encodeLeader(
        isLeader(node) ? leadership.self : leadership.lastRecord.value_or(Granting::LeaderRecord()));
    update.leaderTopicEnd = leadership.logEnd.value_or(0);
    update.senderIsSource = true;
    update.isFresh = hasFreshRead(node);
    update.reportsEnd = relayedReportsEnd(node);
    update.vmCount = node.relay.vmCount;
    update.records = std::move(records);
    return update;
}

/// Addresses of subscribers with a local store, which can relay to VMs with a remote store, or of all
/// subscribers if there are none. At most as many as a VM may need to find one that is running.
std::vector<std::string> subscriberAddresses(const Node& node)
{
    std::vector<std::string> withLocalStore;
    std::vector<std::string> withRemoteStore;
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        ErrorCode error;
        const Tcp::endpoint endpoint = it->second->socket.remote_endpoint(error);
        if (!error)
            (it->second->storeIsLocal ? withLocalStore : withRemoteStore)
                .push_back(endpoint.address().to_string());
    }
    std::vector<std::string> addresses
        = withLocalStore.empty() ? std::move(withRemoteStore) : std::move(withLocalStore);
    if (addresses.size() > maxPeers)
        addresses.resize(maxPeers);
    return addresses;
}

std::vector<LinkPtr> subscribedLinks(const Node& node)
{
    std::vector<LinkPtr> links;
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        if (it->second->subscribed)
            links.push_back(it->second);
    }
    return links;
}

bool isRelaying(const Node& node) { return isLeader(node) || !subscribedLinks(node).empty(); }

void sendUpdateToSubscribers(Node& node, std::vector<Relay::RelayRecord> records)
{
    node.relay.lastUpdateSentAt = now();
    const bool membersChanged = std::exchange(node.relay.subscribersChanged, false);
    std::vector<std::string> members = membersChanged ? collectMembers(node) : std::vector<std::string>();
    // Most VMs have not subscribed yet right after a change of leader, but they are still members.
    if (isLeader(node) && now() - node.startedAt > subscriberJoinPeriod)
        node.relay.vmCount = static_cast<std::uint32_t>(
            std::max(node.relay.subscribers.size() + 1, node.relay.members.size()));
    Relay::Update update = makeUpdate(node, std::move(records));
    update.limits = takeNoticesForSubscribers(node);
    if (membersChanged) {
        update.peers = subscriberAddresses(node);
        update.members = std::move(members);
    }
    const std::string frame = Relay::encodeFrame(update);
    for (const LinkPtr& link : subscribedLinks(node))
        sendFrame(node, link, frame);
}

bool isNeeded(const Relay::RelayRecord& record, const Relay::Subscription& subscription)
{
    switch (record.topic) {
    case RelayTopic::Configurations:
        return record.offset >= subscription.configurations;
    case RelayTopic::Reports:
        // A removal is relayed some time after the record that shows it, so the offset does not tell whether
        // the subscriber has it.
        return !record.value || record.offset >= subscription.reports;
    case RelayTopic::Assignments:
        return record.offset >= subscription.assignments;
    case RelayTopic::AssignmentDeltas:
        return false;
    }
    return false;
}

/// Sends who the leader is to a VM, as this VM is not a source.
void nameLeaderTo(Node& node, const LinkPtr& link)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    if (!leadership.lastRecord || !node.relay.isSubscribed) {
        closeLink(node, link, "not_leading");
        return;
    }
    link->subscribed = false;
    Relay::Update update;
    update.leader = Granting::encodeLeader(*leadership.lastRecord);
    update.leaderTopicEnd = leadership.logEnd.value_or(0);
    sendFrame(node, link, Relay::encodeFrame(update));
}

/// Returns the records that a VM with the offsets in \a subscription has not read.
std::vector<Relay::RelayRecord> findMissedRecords(const Node& node, const Relay::Subscription& subscription)
{
    std::vector<Relay::RelayRecord> records;
    for (auto it = node.relay.newestRecords.begin(); it != node.relay.newestRecords.end(); ++it) {
        if (isNeeded(it->second, subscription))
            records.push_back(it->second);
    }
    return records;
}

/// The first update for VMs without records.
///
/// Load pattern: all VMs restart at once and each needs all records. The encoded frame is therefore cached.
const std::string& initialFrameFor(Node& node, const Relay::Subscription& subscription)
{
    RelayState& relay = node.relay;
    if (relay.initialFrame.empty() || now() - relay.initialFrameEncodedAt > maxInitialFrameAge) {
        relay.initialFrame = Relay::encodeFrame(makeUpdate(node, findMissedRecords(node, subscription)));
        relay.initialFrameEncodedAt = now();
    }
    return relay.initialFrame;
}

void handleSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    if (!isRelaySource(node)) {
        nameLeaderTo(node, link);
        return;
    }
    link->vm = subscription.vm;
    link->storeIsLocal = subscription.storeIsLocal;
    link->subscribed = true;
    node.relay.subscribersChanged = true;
    queueLimitsForSubscribers(node);
    sendKnownCrashes(node, link);
    const bool hasNoRecords
        = subscription.configurations == 0 && subscription.reports == 0 && subscription.assignments == 0;
    sendFrame(node, link,
        hasNoRecords ? initialFrameFor(node, subscription)
                     : Relay::encodeFrame(makeUpdate(node, findMissedRecords(node, subscription))));
}

void handleLoadReport(Node& node, const Relay::LoadFrame& frame)
{
    const std::string& encodedReport = frame.report;
    recordReportedLimits(node, frame.limits, false);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(report, Granting::decodeReport({ encodedReport.data(), encodedReport.size() }));
            applyLoadReport(node, report);
            return {};
        },
        [&]() {
            Logging::write(
                Logging::Level::Warning, "report_unreadable", { { "bytes", encodedReport.size() } });
        });
}

} // namespace Internal

void queueForRelay(Node& node, Relay::RelayRecord record)
{
    Relay::RelayRecord& newest = node.relay.newestRecords[{ record.topic, record.key }];
    if (record.offset < newest.offset)
        return;
    newest = record;
    node.relay.initialFrame.clear();
    node.relay.unsentRecords.push_back(std::move(record));
}

void queueAssignmentChange(Node& node, const Granting::KeyAssignment& previous,
    const Granting::KeyAssignment& next, Utils::Offset offset)
{
    if (previous.segments.empty()) {
        queueForRelay(node,
            { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset });
        return;
    }
    node.relay.initialFrame.clear();
    node.relay.newestRecords[{ Relay::RelayTopic::Assignments, next.service.value }]
        = { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset };
    node.relay.unsentRecords.push_back({ Relay::RelayTopic::AssignmentDeltas, next.service.value,
        Granting::encodeDelta(Granting::computeDelta(previous, next)), offset });
}

void flushRelay(Node& node)
{
    const Utils::Instant at = now();
    std::vector<Relay::RelayRecord>& unsent = node.relay.unsentRecords;
    if (!Internal::isRelaying(node)) {
        unsent.clear();
        return;
    }
    // Of configurations in quick succession only the last one matters, and they may be large.
    const bool isTooEarly = at - node.relay.configurationRelayedAt < configurationRelayInterval;
    const auto isConfiguration
        = [](const Relay::RelayRecord& record) { return record.topic == Relay::RelayTopic::Configurations; };
    const auto firstDeferred = std::stable_partition(unsent.begin(), unsent.end(),
        [&](const Relay::RelayRecord& record) { return !isTooEarly || !isConfiguration(record); });
    std::vector<Relay::RelayRecord> records(unsent.begin(), firstDeferred);
    unsent.erase(unsent.begin(), firstDeferred);
    if (unsent.size() > 1)
        unsent.erase(unsent.begin(), unsent.end() - 1);
    if (std::any_of(records.begin(), records.end(), isConfiguration))
        node.relay.configurationRelayedAt = at;
    if (!records.empty())
        Internal::sendUpdateToSubscribers(node, std::move(records));
}

void redirectSubscribersToLeader(Node& node)
{
    for (const Internal::LinkPtr& link : Internal::subscribedLinks(node))
        Internal::nameLeaderTo(node, link);
}

void disconnectSubscribers(Node& node)
{
    std::vector<Internal::LinkPtr> links;
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it)
        links.push_back(it->second);
    for (const Internal::LinkPtr& link : links)
        Internal::closeLink(node, link, "no_longer_leading");
}

} // namespace Edge
