#include <edge/clock.h>
#include <edge/leaderelection.h>
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

/// Between two configurations that are passed on; a small part of the time in which one is to be in force.
constexpr Utils::Duration configurationInterval = std::chrono::milliseconds(500);

namespace Internal {

using ErrorCode = boost::system::error_code;
using Relay::RelayTopic;

/// VMs that start together have joined the leader by then.
constexpr Utils::Duration joiningTime = std::chrono::seconds(5);

/// VMs whose addresses are passed on.
constexpr std::size_t mostPeers = 32;

/// The first frame for VMs that know nothing is made anew after this long; about one word of the leader.
constexpr Utils::Duration firstFrameAge = std::chrono::milliseconds(250);

/// A source's own reads of the store are taken for fresh for this long; one waits 700 ms for records, and the
/// way to the store may take 40 ms. A leader that is cut off from it silently is found out by this.
constexpr Utils::Duration freshFor = std::chrono::milliseconds(1150);

bool readsFreshly(const Node& node)
{
    const TopicFollower& reports = node.topicFollowers.reports;
    return reports.consecutiveFailures == 0 && now() - reports.lastResponseAt < freshFor;
}

bool leads(const Node& node) { return Granting::holdsLeaderLease(node.leader.leadership, now()); }

bool isRelaySource(const Node& node)
{
    const bool reads = !node.relay.isSubscribed && node.clusterView.routeTable
        && node.clusterView.directoryLoaded && node.topicFollowers.assignments.nextOffset;
    return leads(node) || (reads && readsFreshly(node));
}

/// First report that has not been read. Nothing while the loss of an upstream waits for its grace, as it has
/// not been passed on yet.
Utils::Offset passedOnUpTo(const Node& node)
{
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    const bool waits = std::any_of(directory.entries.begin(), directory.entries.end(),
        [](const std::pair<const Utils::UpstreamId, Routing::DirectoryEntry>& entry) {
            return entry.second.missingSince && !entry.second.isExpired;
        });
    return waits ? 0 : node.topicFollowers.reports.nextOffset.value_or(0);
}

Relay::Update makeUpdate(const Node& node, std::vector<Relay::RelayRecord> records)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    Relay::Update update;
    update.leader = Granting::encodeLeader(
        leads(node) ? leadership.self : leadership.lastRecord.value_or(Granting::LeaderRecord()));
    update.leaderTopicEnd = leadership.logEnd.value_or(0);
    update.senderIsSource = true;
    update.isFresh = readsFreshly(node);
    update.reportsEnd = passedOnUpTo(node);
    update.vmCount = node.relay.vmCount;
    update.records = std::move(records);
    return update;
}

/// Addresses of members, at most as many as one VM may need to find a living one.
/// Those near the store come first, as they can help those far from it.
std::vector<std::string> memberAddresses(const Node& node)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        ErrorCode error;
        const Tcp::endpoint remote = it->second->socket.remote_endpoint(error);
        if (!error)
            (it->second->storeIsLocal ? near : far).push_back(remote.address().to_string());
    }
    std::vector<std::string> addresses = near.empty() ? std::move(far) : std::move(near);
    if (addresses.size() > mostPeers)
        addresses.resize(mostPeers);
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

bool isRelaying(const Node& node) { return leads(node) || !subscribedLinks(node).empty(); }

void sendUpdateToSubscribers(Node& node, std::vector<Relay::RelayRecord> records)
{
    node.relay.lastUpdateSentAt = now();
    // Right after a change of leader most VMs have yet to join.
    const std::size_t vms = std::max(node.relay.subscribers.size() + 1, node.relay.peers.size());
    if (leads(node) && now() - node.leader.startedAt > joiningTime)
        node.relay.vmCount = static_cast<std::uint32_t>(vms);
    Relay::Update update = makeUpdate(node, std::move(records));
    if (std::exchange(node.relay.subscribersChanged, false))
        update.peers = memberAddresses(node);
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
        // A loss is passed on some time after the record that shows it, so that its offset does not tell.
        return !record.value || record.offset >= subscription.reports;
    case RelayTopic::Assignments:
        return record.offset >= subscription.assignments;
    case RelayTopic::AssignmentDeltas:
        return false;
    }
    return false;
}

/// Tells a VM that asks this one, which is no source, who leads.
void nameLeader(Node& node, const LinkPtr& link)
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

/// Records that a VM lacks which has read up to what \a subscription tells.
std::vector<Relay::RelayRecord> missedRecords(const Node& node, const Relay::Subscription& subscription)
{
    std::vector<Relay::RelayRecord> records;
    for (auto it = node.relay.newestRecords.begin(); it != node.relay.newestRecords.end(); ++it) {
        if (isNeeded(it->second, subscription))
            records.push_back(it->second);
    }
    return records;
}

/// Load pattern: all VMs start anew at once and each needs all that is known.
const std::string& firstFrame(Node& node, const Relay::Subscription& subscription)
{
    RelayState& relaying = node.relay;
    if (relaying.initialFrame.empty() || now() - relaying.initialFrameEncodedAt > firstFrameAge) {
        relaying.initialFrame = Relay::encodeFrame(makeUpdate(node, missedRecords(node, subscription)));
        relaying.initialFrameEncodedAt = now();
    }
    return relaying.initialFrame;
}

void handleSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    if (!isRelaySource(node)) {
        nameLeader(node, link);
        return;
    }
    link->vm = subscription.vm;
    link->storeIsLocal = subscription.storeIsLocal;
    link->subscribed = true;
    node.relay.subscribersChanged = true;
    const bool knowsNothing
        = subscription.configurations == 0 && subscription.reports == 0 && subscription.assignments == 0;
    sendFrame(node, link,
        knowsNothing ? firstFrame(node, subscription)
                     : Relay::encodeFrame(makeUpdate(node, missedRecords(node, subscription))));
}

void handleLoadReport(Node& node, const std::string& datagram)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(report, Granting::decodeReport({ datagram.data(), datagram.size() }));
            applyLoadReport(node, report);
            return {};
        },
        [&]() {
            Logging::write(Logging::Level::Warning, "report_unreadable", { { "bytes", datagram.size() } });
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

void queueAssignmentChange(Node& node, const Granting::KeyAssignment& former,
    const Granting::KeyAssignment& next, Utils::Offset offset)
{
    if (former.segments.empty()) {
        queueForRelay(node,
            { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset });
        return;
    }
    node.relay.initialFrame.clear();
    node.relay.newestRecords[{ Relay::RelayTopic::Assignments, next.service.value }]
        = { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset };
    node.relay.unsentRecords.push_back({ Relay::RelayTopic::AssignmentDeltas, next.service.value,
        Granting::encodeDelta(Granting::computeDelta(former, next)), offset });
}

void flushRelay(Node& node)
{
    const Utils::Instant at = now();
    std::vector<Relay::RelayRecord>& unsent = node.relay.unsentRecords;
    if (!Internal::isRelaying(node)) {
        unsent.clear();
        return;
    }
    // Configurations in quick succession are as good as the last of them, and may be large.
    const bool early = at - node.relay.configurationRelayedAt < configurationInterval;
    const auto isConfiguration
        = [](const Relay::RelayRecord& record) { return record.topic == Relay::RelayTopic::Configurations; };
    const auto later = std::stable_partition(unsent.begin(), unsent.end(),
        [&](const Relay::RelayRecord& record) { return !early || !isConfiguration(record); });
    std::vector<Relay::RelayRecord> records(unsent.begin(), later);
    unsent.erase(unsent.begin(), later);
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
        Internal::nameLeader(node, link);
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
