#include <edge/changetimes.h>
#include <edge/clock.h>
#include <edge/addressreuse.h>
#include <edge/crashreports.h>
#include <edge/firstupdates.h>
#include <edge/members.h>
#include <edge/leaderelection.h>
#include <edge/configurationage.h>
#include <edge/leaving.h>
#include <edge/limitkeeping.h>
#include <edge/relay.h>
#include <edge/relaysource.h>
#include <edge/relaytree.h>
#include <edge/storereads.h>
#include <edge/topicfollowing.h>
#include <granting/assignmentdelta.h>
#include <granting/loadreportcodec.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <platform/evacuationrecord.h>
#include <relay/framecodec.h>
#include <relay/relaytree.h>

#include <boost/leaf.hpp>
#include <algorithm>
#include <functional>
#include <tuple>
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

/// What a relay last received is considered fresh for this long; two heartbeats of the leader may be late.
constexpr Utils::Duration maxFreshUpdateAge = std::chrono::milliseconds(900);

/// Whether a VM that receives records of this one gets them in time.
bool isFresh(const Node& node)
{
    if (!node.relay.isSubscribed || Granting::holdsLeaderLease(node.leader.leadership, now()))
        return hasFreshReads(node);
    return node.relay.sourceIsFresh && now() - node.relay.sourceUpdatedAt < maxFreshUpdateAge;
}

bool isEvacuation(const Relay::RelayRecord& record)
{
    return record.topic == RelayTopic::Configurations && Platform::isEvacuationKey(record.key);
}

bool isConfiguration(const Relay::RelayRecord& record) { return record.topic == RelayTopic::Configurations; }

bool isLeader(const Node& node) { return Granting::holdsLeaderLease(node.leader.leadership, now()); }

/// Whether this VM gets its records from another one.
bool isReceiving(const Node& node) { return node.relay.isSubscribed && !isLeader(node); }

bool isRelaySource(const Node& node)
{
    const bool readsStore = !node.relay.isSubscribed && node.clusterView.routeTable
        && node.clusterView.directoryLoaded && node.topicFollowers.assignments.nextOffset;
    return isLeader(node) || (readsStore && hasFreshReads(node));
}

/// Whether no VM is known to have newer records, as neither a source nor the store responds. A VM that starts
/// meanwhile gets them, but is told that they are not fresh.
bool hasNewestRecords(const Node& node)
{
    return !node.relay.isSubscribed && node.clusterView.routeTable && node.clusterView.directoryLoaded
        && isStoreFailing(node);
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
    update.isFresh = isFresh(node);
    update.hops = isReceiving(node) ? static_cast<std::uint8_t>(node.relay.sourceHops + 1) : 0;
    update.reportsEnd = relayedReportsEnd(node);
    update.configurationAge = configurationAge(node, now());
    update.vmCount = node.relay.vmCount;
    update.sentAt = now();
    if (recordsConfirmedAt(node) != Utils::Instant {})
        update.recordsAge = now() - recordsConfirmedAt(node);
    update.records = std::move(records);
    return update;
}

/// Makes the ages in \a update those of the records that subscribers have, as some may still be queued.
void excludeUnsentConfigurations(const Node& node, Relay::Update& update)
{
    const std::vector<Relay::RelayRecord>& unsent = node.relay.unsentRecords;
    if (std::none_of(unsent.begin(), unsent.end(), isConfiguration))
        return;
    const Utils::Duration age = now() - node.relay.relayedConfirmedAt;
    update.configurationAge = std::max(update.configurationAge.value_or(age), age);
    update.recordsAge = std::max(update.recordsAge.value_or(age), age);
}

std::vector<std::string> subscriberAddresses(const Node& node)
{
    std::vector<std::tuple<bool, double, std::string>> ranked;
    for (auto it = node.relay.subscribers.begin(); it != node.relay.subscribers.end(); ++it) {
        ErrorCode error;
        const Tcp::endpoint endpoint = it->second->socket.remote_endpoint(error);
        if (!error)
            ranked.emplace_back(it->second->storeIsLocal,
                Relay::relayCapacity(it->second->cpuPercent, it->second->linkMegabits),
                endpoint.address().to_string());
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<std::string> addresses;
    for (auto it = ranked.begin(); it != ranked.end() && addresses.size() < maxPeers; ++it) {
        if (std::get<bool>(*it) == std::get<bool>(ranked.front()))
            addresses.push_back(std::move(std::get<std::string>(*it)));
    }
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
    excludeUnsentConfigurations(node, update);
    update.limits = takeNoticesForSubscribers(node);
    update.leaving = takeLeavingForSubscribers(node);
    if (membersChanged) {
        // VMs that a fallback source named would read the store, and try to become the leader, too.
        update.peers = isLeader(node) ? subscriberAddresses(node) : node.relay.peers;
        update.members = std::move(members);
    }
    const RelayFrame frame = std::make_shared<const std::string>(Relay::encodeFrame(update));
    for (const LinkPtr& link : subscribedLinks(node))
        sendFrame(node, link, frame);
}

Relay::Update makeRedirect(const Node& node, std::string relay)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    Relay::Update update;
    update.leader = Granting::encodeLeader(isLeader(node) ? leadership.self : *leadership.lastRecord);
    update.leaderTopicEnd = leadership.logEnd.value_or(0);
    update.relay = std::move(relay);
    return update;
}

/// Sends \a update to a VM that this one does not serve.
void sendSingleUpdate(Node& node, const LinkPtr& link, const Relay::Update& update)
{
    link->subscribed = false;
    sendFrame(node, link, Relay::encodeFrame(update));
}

void sendRedirect(Node& node, const LinkPtr& link, std::string relay)
{
    sendSingleUpdate(node, link, makeRedirect(node, std::move(relay)));
}

/// Sends who the leader is to a VM, as this VM is not a source.
void nameLeaderTo(Node& node, const LinkPtr& link)
{
    if (node.leader.leadership.lastRecord)
        sendRedirect(node, link, {});
    else
        closeLink(node, link, "not_leading");
}

/// The same, with the records of the operator that the VM has not read. Large ones are left out.
void nameLeaderTo(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    if (!node.leader.leadership.lastRecord) {
        closeLink(node, link, "not_leading");
        return;
    }
    Relay::Update update = makeRedirect(node, {});
    if (!hasLargeRecords(node.topicFollowers.configurations)) {
        update.records = findMissedOperatorRecords(node, subscription.configurations);
        update.configurationAge = configurationAge(node, now());
    }
    sendSingleUpdate(node, link, update);
}

void handleSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription)
{
    link->vm = subscription.vm;
    const bool isServed = isRelaySource(node) || (subscription.isRedirected && isRelay(node))
        || (subscription.reports == 0 && hasNewestRecords(node));
    if (!isServed) {
        nameLeaderTo(node, link, subscription);
        return;
    }
    if (std::optional<std::string> relay = findRelayFor(node, subscription)) {
        sendRedirect(node, link, std::move(*relay));
        return;
    }
    link->storeIsLocal = subscription.storeIsLocal;
    link->zone = subscription.zone;
    link->mayRelay = subscription.followsRedirects;
    link->isRedirected = subscription.isRedirected;
    link->cpuPercent = subscription.cpuPercent;
    link->linkMegabits = subscription.linkMegabits;
    link->relayFailed = subscription.relayFailed;
    // Until the subscriber reports who they are.
    link->redirects = subscription.subscribers;
    link->subscribed = true;
    node.relay.subscribersChanged = true;
    node.relay.relayedMembersChanged = true;
    queueLimitsForSubscribers(node);
    queueLeavingForSubscribers(node);
    sendKnownCrashes(node, link);
    sendFirstUpdate(node, link, subscription);
    makeRoomFor(node, link);
}

/// Adds the requests that a subscriber has counted to those that this VM reports next.
void addToOwnReport(Node& node, const Granting::LoadReport& report)
{
    for (const Granting::ServiceKeyCounts& reported : report.services) {
        Granting::ServiceKeyCounts& own = node.leader.requestCounts[reported.service];
        own.service = reported.service;
        for (auto it = reported.counts.begin(); it != reported.counts.end(); ++it) {
            std::uint16_t& count = own.counts[it->first];
            count = static_cast<std::uint16_t>(std::min<unsigned>(count + it->second, UINT16_MAX));
        }
    }
}

void handleRelayedTermination(Node& node, const Relay::TerminationFrame& termination)
{
    reportTermination(node, termination.upstream, termination.offset);
    handleTerminationReport(node, termination.upstream, termination.offset);
}

void handleLoadReport(Node& node, const LinkPtr& link, const Relay::LoadFrame& frame)
{
    const std::string& encodedReport = frame.report;
    recordReportedLimits(node, frame.limits, false);
    recordReportedLeaving(node, frame.leaving, false);
    if (frame.members)
        recordRelayedMembers(node, link, *frame.members);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(report, Granting::decodeReport({ encodedReport.data(), encodedReport.size() }));
            if (isReceiving(node))
                addToOwnReport(node, report);
            else
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
    Internal::dropFirstUpdates(node);
    if (record.topic == Relay::RelayTopic::Assignments
        || record.topic == Relay::RelayTopic::AssignmentDeltas) {
        Utils::Offset& newest = node.relay.assignmentOffsets[{ record.key }];
        newest = std::max(newest, record.offset);
    } else {
        Relay::RelayRecord& newest = node.relay.newestRecords[{ record.topic, record.key }];
        if (record.offset < newest.offset)
            return;
        newest = record;
    }
    std::vector<Relay::RelayRecord>& unsent = node.relay.unsentRecords;
    if (std::none_of(unsent.begin(), unsent.end(), Internal::isConfiguration))
        node.relay.relayedConfirmedAt = configurationConfirmedAt(node);
    unsent.push_back(std::move(record));
}

void queueAssignmentChange(Node& node, const Granting::KeyAssignment& previous,
    const Granting::KeyAssignment& next, Utils::Offset offset)
{
    if (previous.segments.empty()) {
        queueForRelay(node,
            { Relay::RelayTopic::Assignments, next.service.value, Granting::encodeAssignment(next), offset });
        return;
    }
    queueForRelay(node,
        { Relay::RelayTopic::AssignmentDeltas, next.service.value,
            Granting::encodeDelta(Granting::computeDelta(previous, next)), offset });
}

void flushRelay(Node& node)
{
    if (node.relay.isApplyingUpdate)
        return;
    const Utils::Instant at = now();
    std::vector<Relay::RelayRecord>& unsent = node.relay.unsentRecords;
    if (!Internal::isRelaying(node)) {
        unsent.clear();
        return;
    }
    // Of configurations in quick succession only the last one matters, and they may be large.
    const bool isDeferralDue
        = !Internal::isReceiving(node) && at - node.relay.configurationRelayedAt < configurationRelayInterval;
    // An evacuation is relayed at once, and earlier records of its topic first, as a subscriber that has it
    // counts as having these.
    const bool isTooEarly
        = isDeferralDue && std::none_of(unsent.begin(), unsent.end(), Internal::isEvacuation);
    const auto firstDeferred = std::stable_partition(unsent.begin(), unsent.end(),
        [&](const Relay::RelayRecord& record) { return !isTooEarly || !Internal::isConfiguration(record); });
    std::vector<Relay::RelayRecord> records(unsent.begin(), firstDeferred);
    unsent.erase(unsent.begin(), firstDeferred);
    if (unsent.size() > 1)
        unsent.erase(unsent.begin(), unsent.end() - 1);
    if (std::any_of(records.begin(), records.end(), Internal::isConfiguration))
        node.relay.configurationRelayedAt = at;
    if (!records.empty())
        Internal::sendUpdateToSubscribers(node, std::move(records));
}

void redirectSubscribersToLeader(Node& node)
{
    for (const Internal::LinkPtr& link : Internal::subscribedLinks(node)) {
        if (!link->isRedirected || !Internal::isRelay(node))
            Internal::nameLeaderTo(node, link);
    }
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
