#include <edge/beliefupdates.h>
#include <edge/clock.h>
#include <edge/following.h>
#include <edge/relay.h>
#include <edge/relaymember.h>
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
    follower.next = std::max(follower.next.value_or(0), offset + 1);
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

bool isFar(const Node& node) { return node.storeTime > nearStore; }

/// Whether the leader's link fails and the store does not answer either.
bool isCutOff(const Node& node) { return !node.relaying.relied && node.followers.leader.failures > 1; }

/// Whether other VMs should be asked for what is new rather than the store.
bool seeksSource(const Node& node)
{
    return isFar(node) && !node.relaying.peers.empty() && !Granting::mayLead(node.leader.leadership, now());
}

void resumeTopics(Node& node)
{
    resumeFollowing(node, node.followers.reports);
    resumeFollowing(node, node.followers.configurations);
    resumeFollowing(node, node.followers.assignments);
}

void readStoreAfter(Node& node, Utils::Duration wait)
{
    node.relaying.patienceTimer.expires_after(wait);
    node.relaying.patienceTimer.async_wait([&node](const ErrorCode& error) {
        if (!error && !node.relaying.relied)
            resumeTopics(node);
    });
}

void beginReading(Node& node)
{
    if (node.relaying.begun)
        return;
    node.relaying.begun = true;
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.last;
    const bool other
        = leader && !leader->vm.value.empty() && leader->reports.address != node.settings.address;
    if (other && isFar(node)) {
        constexpr std::uint64_t steps = 1024;
        const std::uint64_t step = Utils::stableHash(node.settings.name.value) % steps;
        readStoreAfter(node, farStartPatience + farStartSpread * step / steps);
    } else {
        node.relaying.patienceTimer.cancel();
        resumeTopics(node);
    }
    checkLeaderLink(node, now());
}

void readStore(Node& node)
{
    if (!node.relaying.relied)
        return;
    node.relaying.relied = false;
    const bool patient = isFarAndLarge(node);
    node.followers.configurations.pause = patient ? largePause : Utils::Duration::zero();
    node.followers.configurations.patience = patient ? largePatience : Utils::Duration::zero();
    Logging::write(Logging::Level::Warning, "dependency_lost",
        { { "dependency", node.relaying.standIn ? "source" : "leader" } });
    resumeFollowing(node, node.followers.leader);
    if (!seeksSource(node)) {
        resumeTopics(node);
        return;
    }
    node.relaying.askNext = true;
    node.relaying.triedAt = {};
    readStoreAfter(node, farPatience);
}

void noteSourceLost(Node& node)
{
    readStore(node);
    const bool seeking = !node.relaying.relied && node.followers.reports.paused && seeksSource(node);
    if (!seeking)
        return;
    node.relaying.askNext = true;
    node.relaying.triedAt = {};
}

void relyOnSource(Node& node, const RelayLink& link)
{
    if (node.relaying.relied)
        return;
    node.relaying.relied = true;
    node.relaying.standIn = link.vm.value.empty();
    node.relaying.patienceTimer.cancel();
    Logging::write(Logging::Level::Info, "dependency_regained",
        { { "dependency", node.relaying.standIn ? "source" : "leader" }, { "vm", link.vm.value } });
    pauseFollowing(node, node.followers.leader);
    pauseFollowing(node, node.followers.reports);
    pauseFollowing(node, node.followers.configurations);
    pauseFollowing(node, node.followers.assignments);
    nameLeaderToMembers(node);
}

/// Notes how far the source has read, as its word comes after all that it has passed on.
void noteReadUpTo(Node& node, const RelayLink& link, const Relay::Update& update)
{
    TopicFollower& reports = node.followers.reports;
    if (reports.next)
        reports.next = std::max(*reports.next, update.reportsEnd);
    if (!link.allReports || !update.fresh || node.beliefs.directoryLoaded || !node.beliefs.table)
        return;
    reports.next = update.reportsEnd;
    node.beliefs.directoryLoaded = true;
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
    // A VM that is no source answers once, with who leads.
    if (!update.source) {
        loseLink(node, link, "leader_named");
        node.relaying.triedAt = {};
        return;
    }
    noteReadUpTo(node, *link, update);
    if (update.fresh && node.beliefs.table && node.beliefs.directoryLoaded)
        relyOnSource(node, *link);
    if (update.fresh)
        return;
    readStore(node);
    if (seeksSource(node) && !isCutOff(node))
        loseLink(node, link, "not_fresh");
}

void subscribe(Node& node, const LinkPtr& link)
{
    tuneSocket(link->socket);
    Relay::Subscription subscription;
    subscription.vm = node.settings.name;
    subscription.configurations = node.followers.configurations.next.value_or(0);
    subscription.reports = node.followers.reports.next.value_or(0);
    subscription.assignments = node.followers.assignments.next.value_or(0);
    subscription.nearStore = !isFar(node);
    link->allReports = subscription.reports == 0;
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
    // The address that others are told to find this VM at.
    ErrorCode error;
    link->socket.open(Tcp::v4(), error);
    link->socket.bind(toTcp({ node.settings.address, 0 }), error);
    if (error) {
        loseLink(node, link, "bind");
        return;
    }
    link->socket.async_connect(toTcp(endpoint), [&node, link](const ErrorCode& error) {
        if (!isOpen(node, *link))
            return;
        if (error)
            loseLink(node, link, "connect");
        else
            subscribe(node, link);
    });
}

/// Asks another VM for what is new, or who leads.
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
    const Utils::Duration interval = node.beliefs.directoryLoaded ? connectInterval : firstConnectInterval;
    if (relaying.toLeader || leads || at - relaying.triedAt <= interval)
        return;
    // Every second try goes to another VM while neither leader nor store can be reached.
    const bool ask = std::exchange(relaying.askNext, !relaying.askNext && isCutOff(node));
    if (ask && !relaying.peers.empty())
        askPeer(node);
    else if (other)
        connectTo(node, leader->vm, leader->reports);
}

} // namespace Internal

} // namespace Edge
