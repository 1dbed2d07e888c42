#include <edge/beliefupdates.h>
#include <edge/clock.h>
#include <edge/following.h>
#include <edge/leading.h>
#include <edge/relay.h>
#include <granting/assignmentdelta.h>
#include <granting/loadreportcodec.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <relay/framecodec.h>
#include <relay/relayerror.h>

#include <boost/asio/write.hpp>
#include <boost/leaf.hpp>

#include <algorithm>
#include <utility>

namespace Edge {

namespace leaf = boost::leaf;

/// Between two configurations that are passed on; a small part of the time in which one is to be in force.
constexpr Utils::Duration configurationInterval = std::chrono::milliseconds(500);

namespace Internal {

using ErrorCode = boost::system::error_code;
using LinkPtr = std::shared_ptr<RelayLink>;
using Relay::RelayTopic;

/// Between two looks at the link to the leader.
constexpr Utils::Duration relayTick = std::chrono::milliseconds(200);
/// Longest silence of a leader that has nothing new to say.
constexpr Utils::Duration wordInterval = std::chrono::milliseconds(300);
/// A leader that is silent for longer is not relied upon: two of its words may be late, and with what follows
/// a change still arrives within the bounds of the platform.
constexpr Utils::Duration longestSilence = std::chrono::milliseconds(1000);
/// Between two tries to reach the leader.
constexpr Utils::Duration connectInterval = std::chrono::milliseconds(600);
/// VMs that start together have joined the leader by then.
constexpr Utils::Duration joiningTime = std::chrono::seconds(5);
/// VMs whose addresses are passed on.
constexpr std::size_t mostPeers = 32;
/// A VM that does not take what it is sent is dropped at this point, and reads the store itself.
constexpr std::size_t mostOutboxBytes = std::size_t(8) << 20;
/// The leader's own reads of the store are taken for fresh for this long; one waits 700 ms for records, and
/// the way to the store may take 40 ms. A leader that is cut off from it silently is found out by this.
constexpr Utils::Duration freshFor = std::chrono::milliseconds(1150);

/// Bytes of a configuration that are much for the links between regions when many VMs fetch them.
constexpr std::size_t largeConfiguration = 50000;
/// Most of a lease: another VM is likely to lead by then.
constexpr Utils::Duration largePause = std::chrono::milliseconds(1500);

void readFrames(Node& node, const LinkPtr& link);
void loseLink(Node& node, const LinkPtr& link, const char* why);

bool isOpen(const Node& node, const RelayLink& link)
{
    return node.relaying.members.contains(link.id)
        || (node.relaying.toLeader && node.relaying.toLeader->id == link.id);
}

void writeFirst(Node& node, const LinkPtr& link)
{
    boost::asio::async_write(link->socket, boost::asio::buffer(link->outbox.front()),
        [&node, link](const ErrorCode& error, std::size_t) {
            if (!isOpen(node, *link))
                return;
            if (error) {
                loseLink(node, link, "write");
                return;
            }
            link->outboxBytes -= link->outbox.front().size();
            link->outbox.pop_front();
            if (!link->outbox.empty())
                writeFirst(node, link);
        });
}

void sendFrame(Node& node, const LinkPtr& link, std::string frame)
{
    link->outboxBytes += frame.size();
    if (link->outboxBytes > mostOutboxBytes) {
        loseLink(node, link, "full");
        return;
    }
    link->outbox.push_back(std::move(frame));
    if (link->outbox.size() == 1)
        writeFirst(node, link);
}

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
Utils::Duration configurationPause(const Node& node)
{
    const auto found
        = node.relaying.newest.find({ RelayTopic::Configurations, std::string(Platform::configurationKey) });
    const bool large = found != node.relaying.newest.end() && found->second.value
        && found->second.value->size() > largeConfiguration;
    return large && node.storeTime > nearStore ? largePause : Utils::Duration::zero();
}

void readStore(Node& node)
{
    if (!node.relaying.relied)
        return;
    node.relaying.relied = false;
    node.followers.configurations.pause = configurationPause(node);
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

void takeFrame(Node& node, const LinkPtr& link, const Relay::Frame& frame)
{
    if (const Relay::Subscription* subscription = std::get_if<Relay::Subscription>(&frame))
        takeSubscription(node, link, *subscription);
    else if (const Relay::Update* update = std::get_if<Relay::Update>(&frame))
        takeUpdate(node, link, *update);
    else if (const Relay::LoadFrame* load = std::get_if<Relay::LoadFrame>(&frame))
        takeLoad(node, load->report);
}

/// Takes all whole frames that have come; false if one makes no sense.
bool takeFrames(Node& node, const LinkPtr& link)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            while (isOpen(node, *link)) {
                BOOST_LEAF_AUTO(frame, Relay::takeFrame(link->received));
                if (!frame)
                    break;
                takeFrame(node, link, *frame);
            }
            return true;
        },
        [&](Relay::RelayError error) {
            Logging::write(Logging::Level::Error, "relay_frame_unusable",
                { { "vm", link->vm.value }, { "error", Utils::enumName(Relay::relayErrorNames, error) } });
            return false;
        },
        []() { return false; });
}

void readFrames(Node& node, const LinkPtr& link)
{
    link->socket.async_read_some(
        boost::asio::buffer(link->chunk), [&node, link](const ErrorCode& error, std::size_t size) {
            if (!isOpen(node, *link))
                return;
            if (error) {
                loseLink(node, link, "read");
                return;
            }
            link->received.append(link->chunk.data(), size);
            if (!takeFrames(node, link))
                loseLink(node, link, "frame");
            else if (isOpen(node, *link))
                readFrames(node, link);
        });
}

void loseLink(Node& node, const LinkPtr& link, const char* why)
{
    ErrorCode ignored;
    link->socket.close(ignored);
    const bool wasToLeader = node.relaying.toLeader && node.relaying.toLeader->id == link->id;
    if (wasToLeader) {
        node.relaying.toLeader.reset();
        readStore(node);
    }
    node.relaying.members.erase(link->id);
    Logging::write(Logging::Level::Info, "link_lost",
        { { "to_leader", wasToLeader }, { "vm", link->vm.value }, { "why", why } });
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

void tickRelay(Node& node)
{
    const Utils::Instant at = now();
    if (Granting::mayLead(node.leader.leadership, at)) {
        flushRelay(node);
        if (at - node.relaying.saidAt >= wordInterval)
            sendToAll(node, {});
    }
    checkLeaderLink(node, at);
    node.relaying.timer.expires_after(relayTick);
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
    Internal::acceptMember(node);
    Internal::tickRelay(node);
}

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

void dismissMembers(Node& node)
{
    std::vector<Internal::LinkPtr> links;
    for (auto it = node.relaying.members.begin(); it != node.relaying.members.end(); ++it)
        links.push_back(it->second);
    for (const Internal::LinkPtr& link : links)
        Internal::loseLink(node, link, "no_longer_leading");
}

} // namespace Edge
