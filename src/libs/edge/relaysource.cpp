#include <edge/clock.h>
#include <edge/leading.h>
#include <edge/relay.h>
#include <edge/relayleader.h>
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

/// The leader's own reads of the store are taken for fresh for this long; one waits 700 ms for records, and
/// the way to the store may take 40 ms. A leader that is cut off from it silently is found out by this.
constexpr Utils::Duration freshFor = std::chrono::milliseconds(1150);

bool readsFreshly(const Node& node)
{
    const TopicFollower& reports = node.followers.reports;
    return reports.failures == 0 && now() - reports.answeredAt < freshFor;
}

Relay::Update makeUpdate(const Node& node, std::vector<Relay::RelayRecord> records)
{
    Relay::Update update;
    update.leader = Granting::encodeLeader(node.leader.leadership.self);
    update.leaderEnd = node.leader.leadership.end.value_or(0);
    update.fresh = readsFreshly(node);
    update.vms = node.relaying.vms;
    update.records = std::move(records);
    return update;
}

/// Addresses of members, this VM's own included; at most as many as one VM may need to find a living one.
std::vector<std::string> memberAddresses(const Node& node)
{
    std::vector<std::string> addresses { node.settings.address };
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it) {
        ErrorCode error;
        const Tcp::endpoint remote = it->second->socket.remote_endpoint(error);
        if (!error && addresses.size() < mostPeers)
            addresses.push_back(remote.address().to_string());
    }
    return addresses;
}

void sendToAll(Node& node, std::vector<Relay::RelayRecord> records)
{
    node.relaying.saidAt = now();
    // Right after a change of leader most VMs have yet to join.
    const std::size_t vms = std::max(node.relaying.members.size() + 1, node.relaying.peers.size());
    if (now() - node.leader.startedAt > joiningTime)
        node.relaying.vms = static_cast<std::uint32_t>(vms);
    Relay::Update update = makeUpdate(node, std::move(records));
    if (std::exchange(node.relaying.membersChanged, false))
        update.peers = memberAddresses(node);
    const std::string frame = Relay::encodeFrame(update);
    std::vector<LinkPtr> links;
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it) {
        if (it->second->subscribed)
            links.push_back(it->second);
    }
    for (const LinkPtr& link : links)
        sendFrame(node, link, frame);
}

bool isNeeded(const Relay::RelayRecord& record, const Relay::Subscription& subscription)
{
    switch (record.topic) {
    case RelayTopic::Configurations:
        return record.offset >= subscription.configurations;
    case RelayTopic::Reports:
        return record.offset >= subscription.reports;
    case RelayTopic::Assignments:
        return record.offset >= subscription.assignments;
    case RelayTopic::AssignmentDeltas:
        return false;
    }
    return false;
}

/// Tells a VM that asks this one, which does not lead, who does.
void nameLeader(Node& node, const LinkPtr& link)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    if (!leadership.last || !node.relaying.relied) {
        loseLink(node, link, "not_leading");
        return;
    }
    Relay::Update update;
    update.leader = Granting::encodeLeader(*leadership.last);
    update.leaderEnd = leadership.end.value_or(0);
    sendFrame(node, link, Relay::encodeFrame(update));
}

void takeSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    if (!Granting::mayLead(node.leader.leadership, now())) {
        nameLeader(node, link);
        return;
    }
    link->vm = subscription.vm;
    link->subscribed = true;
    node.relaying.membersChanged = true;
    std::vector<Relay::RelayRecord> records;
    for (auto it = node.relaying.newest.begin(); it != node.relaying.newest.end(); ++it) {
        if (isNeeded(it->second, subscription))
            records.push_back(it->second);
    }
    sendFrame(node, link, Relay::encodeFrame(makeUpdate(node, std::move(records))));
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
    node.relaying.newest[{ Relay::RelayTopic::Assignments, next.service.value }]
        = { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset };
    node.relaying.unsent.push_back({ Relay::RelayTopic::AssignmentDeltas, next.service.value,
        Granting::encodeDelta(Granting::deltaBetween(former, next)), offset });
}

void flushRelay(Node& node)
{
    const Utils::Instant at = now();
    std::vector<Relay::RelayRecord>& unsent = node.relaying.unsent;
    if (!Granting::mayLead(node.leader.leadership, at)) {
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

void dismissMembers(Node& node)
{
    std::vector<Internal::LinkPtr> links;
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it)
        links.push_back(it->second);
    for (const Internal::LinkPtr& link : links)
        Internal::loseLink(node, link, "no_longer_leading");
}

} // namespace Edge
