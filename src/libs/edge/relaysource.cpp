#include <edge/clock.h>
#include <edge/leading.h>
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
    const TopicFollower& reports = node.followers.reports;
    return reports.failures == 0 && now() - reports.answeredAt < freshFor;
}

bool leads(const Node& node) { return Granting::mayLead(node.leader.leadership, now()); }

bool isSource(const Node& node)
{
    const bool reads = !node.relaying.relied && node.beliefs.table && node.beliefs.directoryLoaded
        && node.followers.assignments.next;
    return leads(node) || (reads && readsFreshly(node));
}

/// First report that has not been read. Nothing while the loss of an upstream waits for its grace, as it has
/// not been passed on yet.
Utils::Offset passedOnUpTo(const Node& node)
{
    const Routing::UpstreamDirectory& directory = node.beliefs.directory;
    const bool waits = std::any_of(directory.entries.begin(), directory.entries.end(),
        [](const std::pair<const Utils::UpstreamId, Routing::DirectoryEntry>& entry) {
            return entry.second.missingSince && !entry.second.gone;
        });
    return waits ? 0 : node.followers.reports.next.value_or(0);
}

Relay::Update makeUpdate(const Node& node, std::vector<Relay::RelayRecord> records)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    Relay::Update update;
    update.leader = Granting::encodeLeader(
        leads(node) ? leadership.self : leadership.last.value_or(Granting::LeaderRecord()));
    update.leaderEnd = leadership.end.value_or(0);
    update.source = true;
    update.fresh = readsFreshly(node);
    update.reportsEnd = passedOnUpTo(node);
    update.vms = node.relaying.vms;
    update.records = std::move(records);
    return update;
}

/// Addresses of members, at most as many as one VM may need to find a living one.
/// Those near the store come first, as they can help those far from it.
std::vector<std::string> memberAddresses(const Node& node)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it) {
        ErrorCode error;
        const Tcp::endpoint remote = it->second->socket.remote_endpoint(error);
        if (!error)
            (it->second->nearStore ? near : far).push_back(remote.address().to_string());
    }
    std::vector<std::string> addresses = near.empty() ? std::move(far) : std::move(near);
    if (addresses.size() > mostPeers)
        addresses.resize(mostPeers);
    return addresses;
}

std::vector<LinkPtr> subscribedLinks(const Node& node)
{
    std::vector<LinkPtr> links;
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it) {
        if (it->second->subscribed)
            links.push_back(it->second);
    }
    return links;
}

bool passesOn(const Node& node) { return leads(node) || !subscribedLinks(node).empty(); }

void sendToAll(Node& node, std::vector<Relay::RelayRecord> records)
{
    node.relaying.saidAt = now();
    // Right after a change of leader most VMs have yet to join.
    const std::size_t vms = std::max(node.relaying.members.size() + 1, node.relaying.peers.size());
    if (leads(node) && now() - node.leader.startedAt > joiningTime)
        node.relaying.vms = static_cast<std::uint32_t>(vms);
    Relay::Update update = makeUpdate(node, std::move(records));
    if (std::exchange(node.relaying.membersChanged, false))
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
    if (!leadership.last || !node.relaying.relied) {
        loseLink(node, link, "not_leading");
        return;
    }
    link->subscribed = false;
    Relay::Update update;
    update.leader = Granting::encodeLeader(*leadership.last);
    update.leaderEnd = leadership.end.value_or(0);
    sendFrame(node, link, Relay::encodeFrame(update));
}

/// Records that a VM lacks which has read up to what \a subscription tells.
std::vector<Relay::RelayRecord> missedRecords(const Node& node, const Relay::Subscription& subscription)
{
    std::vector<Relay::RelayRecord> records;
    for (auto it = node.relaying.newest.begin(); it != node.relaying.newest.end(); ++it) {
        if (isNeeded(it->second, subscription))
            records.push_back(it->second);
    }
    return records;
}

/// Load pattern: all VMs start anew at once and each needs all that is known.
const std::string& firstFrame(Node& node, const Relay::Subscription& subscription)
{
    Relaying& relaying = node.relaying;
    if (relaying.firstFrame.empty() || now() - relaying.firstFrameAt > firstFrameAge) {
        relaying.firstFrame = Relay::encodeFrame(makeUpdate(node, missedRecords(node, subscription)));
        relaying.firstFrameAt = now();
    }
    return relaying.firstFrame;
}

void takeSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    if (!isSource(node)) {
        nameLeader(node, link);
        return;
    }
    link->vm = subscription.vm;
    link->nearStore = subscription.nearStore;
    link->subscribed = true;
    node.relaying.membersChanged = true;
    const bool knowsNothing
        = subscription.configurations == 0 && subscription.reports == 0 && subscription.assignments == 0;
    sendFrame(node, link,
        knowsNothing ? firstFrame(node, subscription)
                     : Relay::encodeFrame(makeUpdate(node, missedRecords(node, subscription))));
}

void takeLoad(Node& node, const std::string& datagram)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(report, Granting::decodeReport({ datagram.data(), datagram.size() }));
            takeLoadReport(node, report);
            return {};
        },
        [&]() {
            Logging::write(Logging::Level::Warning, "report_unreadable", { { "bytes", datagram.size() } });
        });
}

} // namespace Internal

void passOn(Node& node, Relay::RelayRecord record)
{
    Relay::RelayRecord& newest = node.relaying.newest[{ record.topic, record.key }];
    if (record.offset < newest.offset)
        return;
    newest = record;
    node.relaying.firstFrame.clear();
    node.relaying.unsent.push_back(std::move(record));
}

void passOnChanges(Node& node, const Granting::KeyAssignment& former, const Granting::KeyAssignment& next,
    Utils::Offset offset)
{
    if (former.segments.empty()) {
        passOn(node,
            { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset });
        return;
    }
    node.relaying.firstFrame.clear();
    node.relaying.newest[{ Relay::RelayTopic::Assignments, next.service.value }]
        = { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset };
    node.relaying.unsent.push_back({ Relay::RelayTopic::AssignmentDeltas, next.service.value,
        Granting::encodeDelta(Granting::deltaBetween(former, next)), offset });
}

void flushRelay(Node& node)
{
    const Utils::Instant at = now();
    std::vector<Relay::RelayRecord>& unsent = node.relaying.unsent;
    if (!Internal::passesOn(node)) {
        unsent.clear();
        return;
    }
    // Configurations in quick succession are as good as the last of them, and may be large.
    const bool early = at - node.relaying.configuredAt < configurationInterval;
    const auto isConfiguration
        = [](const Relay::RelayRecord& record) { return record.topic == Relay::RelayTopic::Configurations; };
    const auto later = std::stable_partition(unsent.begin(), unsent.end(),
        [&](const Relay::RelayRecord& record) { return !early || !isConfiguration(record); });
    std::vector<Relay::RelayRecord> records(unsent.begin(), later);
    unsent.erase(unsent.begin(), later);
    if (unsent.size() > 1)
        unsent.erase(unsent.begin(), unsent.end() - 1);
    if (std::any_of(records.begin(), records.end(), isConfiguration))
        node.relaying.configuredAt = at;
    if (!records.empty())
        Internal::sendToAll(node, std::move(records));
}

void nameLeaderToMembers(Node& node)
{
    for (const Internal::LinkPtr& link : Internal::subscribedLinks(node))
        Internal::nameLeader(node, link);
}

void dismissMembers(Node& node)
{
    std::vector<Internal::LinkPtr> links;
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it)
        links.push_back(it->second);
    for (const Internal::LinkPtr& link : links)
        Internal::loseLink(node, link, "no_longer_leading");
}

} // namespace Edge
