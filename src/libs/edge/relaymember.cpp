#include <edge/beliefupdates.h>
#include <edge/clock.h>
#include <edge/following.h>
#include <edge/relaymember.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <platform/storecalls.h>
#include <relay/framecodec.h>

#include <boost/leaf.hpp>
#include <algorithm>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Relay::RelayTopic;

/// A leader that is silent for longer is not relied upon: two of its words may be late, and with what follows
/// a change still arrives within the bounds of the platform.
constexpr Utils::Duration longestSilence = std::chrono::milliseconds(1000);

/// Between two tries to reach the leader.
constexpr Utils::Duration connectInterval = std::chrono::milliseconds(600);

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
    if (follower.next)
        follower.next = std::max(*follower.next, offset + 1);
}

/// False if what the record builds on is not known here.
bool takeRecord(Node& node, const Relay::RelayRecord& record)
{
    switch (record.topic) {
    case RelayTopic::Configurations:
        takeConfigurations(node, { toStoreRecord(record) });
        advance(node.followers.configurations, record.offset);
        break;
    case RelayTopic::Reports:
        if (record.value)
            takeReports(node, { toStoreRecord(record) });
        else
            takeLoss(node, { record.key }, record.offset);
        advance(node.followers.reports, record.offset);
        break;
    case RelayTopic::Assignments:
        takeAssignments(node, { toStoreRecord(record) });
        advance(node.followers.assignments, record.offset);
        break;
    case RelayTopic::AssignmentDeltas:
        if (takeAssignmentDelta(node, record.value.value_or("")))
            advance(node.followers.assignments, record.offset);
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
    const auto found
        = node.relaying.newest.find({ RelayTopic::Configurations, std::string(Platform::configurationKey) });
    const bool large = found != node.relaying.newest.end() && found->second.value
        && found->second.value->size() > largeConfiguration;
    return large && node.storeTime > nearStore;
}

void readStore(Node& node)
{
    if (!node.relaying.relied)
        return;
    node.relaying.relied = false;
    const bool patient = isFarAndLarge(node);
    node.followers.configurations.pause = patient ? largePause : Utils::Duration::zero();
    node.followers.configurations.patience = patient ? largePatience : Utils::Duration::zero();
    Logging::write(Logging::Level::Warning, "dependency_lost", { { "dependency", "leader" } });
    resumeFollowing(node, node.followers.leader);
    resumeFollowing(node, node.followers.reports);
    resumeFollowing(node, node.followers.configurations);
    resumeFollowing(node, node.followers.assignments);
}

void relyOnLeader(Node& node, const Utils::VmId& leader)
{
    if (node.relaying.relied)
        return;
    node.relaying.relied = true;
    Logging::write(
        Logging::Level::Info, "dependency_regained", { { "dependency", "leader" }, { "vm", leader.value } });
    pauseFollowing(node, node.followers.leader);
    pauseFollowing(node, node.followers.reports);
    pauseFollowing(node, node.followers.configurations);
    pauseFollowing(node, node.followers.assignments);
}

void takeUpdate(Node& node, const LinkPtr& link, const Relay::Update& update)
{
    node.relaying.heardAt = now();
    node.relaying.vms = update.vms;
    const std::optional<Granting::LeaderRecord> leader = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Granting::LeaderRecord>> {
            BOOST_LEAF_AUTO(record, Granting::decodeLeader(update.leader));
            return std::optional<Granting::LeaderRecord>(record);
        },
        []() { return std::optional<Granting::LeaderRecord>(); });
    if (!leader) {
        loseLink(node, link, "leader_unreadable");
        return;
    }
    for (const Relay::RelayRecord& record : update.records) {
        if (takeRecord(node, record))
            continue;
        // A new subscription brings what is missing.
        loseLink(node, link, "delta_without_base");
        node.relaying.triedAt = {};
        return;
    }
    if (!update.peers.empty())
        node.relaying.peers = update.peers;
    Granting::noteRead(node.leader.leadership, update.leaderEnd, leader, now());
    if (link->vm.value.empty()) {
        loseLink(node, link, "leader_named");
        node.relaying.triedAt = {};
        return;
    }
    // A VM that does not lead answers once, with who does.
    if (!update.fresh)
        readStore(node);
    else if (node.beliefs.table && node.beliefs.directoryLoaded)
        relyOnLeader(node, leader->vm);
}

void subscribe(Node& node, const LinkPtr& link)
{
    tuneSocket(link->socket);
    Relay::Subscription subscription;
    subscription.vm = node.settings.name;
    subscription.configurations = node.followers.configurations.next.value_or(0);
    subscription.reports = node.followers.reports.next.value_or(0);
    subscription.assignments = node.followers.assignments.next.value_or(0);
    node.relaying.heardAt = now();
    sendFrame(node, link, Relay::encodeFrame(subscription));
    readFrames(node, link);
}

void connectTo(Node& node, const Utils::VmId& vm, const Routing::Endpoint& endpoint)
{
    node.relaying.triedAt = now();
    const LinkPtr link = std::make_shared<RelayLink>(++node.traffic.lastId, Tcp::socket(node.context));
    link->vm = vm;
    node.relaying.toLeader = link;
    node.relaying.heardAt = now();
    link->socket.async_connect(toTcp(endpoint), [&node, link](const ErrorCode& error) {
        if (!isOpen(node, *link))
            return;
        if (error)
            loseLink(node, link, "connect");
        else
            subscribe(node, link);
    });
}

/// Whether the leader's link fails and the store does not answer either.
bool isCutOff(const Node& node) { return !node.relaying.relied && node.followers.leader.failures > 1; }

/// Asks another VM who leads.
void askPeer(Node& node)
{
    Relaying& relaying = node.relaying;
    const std::string address = relaying.peers[relaying.nextPeer++ % relaying.peers.size()];
    if (address != node.settings.address)
        connectTo(node, {}, { address, node.settings.firstInternalPort });
}

void checkLeaderLink(Node& node, Utils::Instant at)
{
    Relaying& relaying = node.relaying;
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.last;
    const bool other = leader && !leader->vm.value.empty() && leader->vm != node.settings.name;
    const bool leads = Granting::mayLead(node.leader.leadership, at);
    const bool asking = relaying.toLeader && relaying.toLeader->vm.value.empty();
    if (relaying.toLeader && (leads || (!asking && (!other || relaying.toLeader->vm != leader->vm)))) {
        loseLink(node, LinkPtr(relaying.toLeader), "superseded");
        return;
    }
    if (relaying.toLeader && at - relaying.heardAt > longestSilence) {
        loseLink(node, LinkPtr(relaying.toLeader), "silent");
        return;
    }
    const bool ready = node.beliefs.table && node.beliefs.directoryLoaded && node.followers.assignments.next;
    if (relaying.toLeader || leads || !ready || at - relaying.triedAt <= connectInterval)
        return;
    // Every second try goes to another VM while neither leader nor store can be reached.
    const bool ask = isCutOff(node) && !relaying.peers.empty() && relaying.nextPeer++ % 2 == 0;
    if (ask)
        askPeer(node);
    else if (other)
        connectTo(node, leader->vm, leader->reports);
}

} // namespace Internal

} // namespace Edge
