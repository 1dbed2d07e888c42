#include <edge/changetimes.h>
#include <edge/configurationage.h>
#include <edge/clusterviewupdates.h>
#include <edge/clock.h>
#include <edge/leaderelection.h>
#include <edge/crashreports.h>
#include <edge/leaving.h>
#include <edge/limitkeeping.h>
#include <edge/members.h>
#include <edge/relaysource.h>
#include <edge/topicfollowing.h>
#include <edge/relay.h>
#include <edge/relaysubscriber.h>
#include <edge/relaytree.h>
#include <edge/sourcelinks.h>
#include <edge/storereads.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <platform/storecalls.h>
#include <platform/storeposition.h>
#include <relay/framecodec.h>
#include <relay/patience.h>
#include <relay/sourcesearch.h>
#include <utils/hash.h>

#include <boost/leaf.hpp>
#include <algorithm>
#include <iterator>
#include <utility>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Relay::RelayTopic;

/// Most of a leader lease, so that another VM is likely to be the leader by then.
constexpr Utils::Duration largeConfigurationReadInterval = std::chrono::milliseconds(1500);
/// All VMs of a region read 280 KB each over 60 Mbit/s in less time.
constexpr Utils::Duration largeConfigurationExtraTimeout = std::chrono::milliseconds(3800);

Platform::StoreRecord toStoreRecord(const Relay::RelayRecord& record)
{
    return { record.offset, record.key, record.value };
}

/// Advances the offset at which the topic is read when the store is read again.
void advanceNextOffset(TopicFollower& follower, Utils::Offset offset)
{
    follower.nextOffset = std::max(follower.nextOffset.value_or(0), offset + 1);
}

/// Returns false if the record is a delta whose base is not in force here.
bool applyRecord(Node& node, const Relay::RelayRecord& record)
{
    switch (record.topic) {
    case RelayTopic::Configurations:
        applyOperatorRecords(node, { toStoreRecord(record) });
        advanceNextOffset(node.topicFollowers.configurations, record.offset);
        if (record.key == Platform::configurationKey)
            node.topicFollowers.configurations.lastRecordBytes = record.value.value_or("").size();
        break;
    case RelayTopic::Reports:
        if (record.value)
            applyUpstreamReports(node, { toStoreRecord(record) });
        else
            applyUpstreamRemoval(node, { record.key }, record.offset);
        break;
    case RelayTopic::Assignments:
        applyAssignments(node, { toStoreRecord(record) });
        advanceNextOffset(node.topicFollowers.assignments, record.offset);
        break;
    case RelayTopic::AssignmentDeltas:
        if (!applyAssignmentDelta(node, record.value.value_or("")))
            return false;
        queueForRelay(node, record);
        advanceNextOffset(node.topicFollowers.assignments, record.offset);
        break;
    }
    return true;
}

/// Applies the records of an update. Returns false if one is a delta whose base is not in force here.
bool applyRecords(Node& node, const std::vector<Relay::RelayRecord>& records)
{
    node.relay.isApplyingUpdate = true;
    const bool isComplete = std::all_of(records.begin(), records.end(),
        [&node](const Relay::RelayRecord& record) { return applyRecord(node, record); });
    node.relay.isApplyingUpdate = false;
    flushRelay(node);
    return isComplete;
}

/// Whether reading the configuration from the store strains the link between regions.
///
/// Load pattern: the leader is lost while a large configuration changes repeatedly, and all VMs of the
/// other regions read it over the links between regions. They read the newest version, and the next
/// one only after an interval.
bool isConfigurationReadExpensive(const Node& node)
{
    return hasLargeRecords(node.topicFollowers.configurations) && node.minStoreLatency > maxLocalStoreLatency;
}

void followUnconfirmedConfiguration(Node& node)
{
    TopicFollower& topic = node.topicFollowers.configurations;
    const bool isLeader = Granting::holdsLeaderLease(node.leader.leadership, now());
    if (isLeader || !node.clusterView.routeTable)
        return;
    if (isConfigurationUnconfirmed(node, now()) && !isConfigurationReadExpensive(node))
        resumeFollowing(node, topic);
    else if (node.relay.isSubscribed && node.relay.sourceIsFresh && !topic.paused)
        pauseFollowing(node, topic);
}

SourceKind sourceKindOf(const RelayLink& link)
{
    if (!link.relayAddress.empty())
        return SourceKind::Relay;
    return link.vm.value.empty() ? SourceKind::Fallback : SourceKind::Leader;
}

/// How long to look for a relay source among the peers before the store is read.
Utils::Duration searchTimeout(const Node& node)
{
    if (node.relay.peers.empty() || Granting::holdsLeaderLease(node.leader.leadership, now()))
        return Utils::Duration::zero();
    return Relay::sourceSearchTimeout(searchSituation(node));
}

bool shouldSeekSource(const Node& node) { return searchTimeout(node) > Utils::Duration::zero(); }

void resumeTopicFollowers(Node& node)
{
    resumeFollowing(node, node.topicFollowers.leader);
    resumeFollowing(node, node.topicFollowers.reports);
    resumeFollowing(node, node.topicFollowers.configurations);
    resumeFollowing(node, node.topicFollowers.assignments);
}

void scheduleStoreReading(Node& node, Utils::Duration delay)
{
    startTimer(node.relay.storeReadTimer, delay, [&node] {
        if (!node.relay.isSubscribed)
            resumeTopicFollowers(node);
    });
}

void startReadingTopics(Node& node)
{
    if (node.relay.readingStarted)
        return;
    node.relay.readingStarted = true;
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.lastRecord;
    const bool otherVmLeads
        = leader && !leader->vm.value.empty() && leader->loadReportEndpoint.address != node.settings.address;
    Utils::Duration delay {};
    if (otherVmLeads)
        delay = Relay::startupSourceSearchTimeout(searchSituation(node));
    else if (!leader && node.settings.isFirstStart)
        delay = Relay::firstStartDelay(leaseAcquisitionJitter(node));
    if (delay > Utils::Duration::zero()) {
        scheduleStoreReading(node, delay);
    } else {
        cancelTimer(node.relay.storeReadTimer);
        resumeTopicFollowers(node);
    }
    checkSourceLink(node, now());
}

void fallBackToStore(Node& node)
{
    if (!node.relay.isSubscribed)
        return;
    node.relay.isSubscribed = false;
    node.relay.sourceLostAt = now();
    const bool isReadExpensive = isConfigurationReadExpensive(node);
    node.topicFollowers.configurations.readInterval
        = isReadExpensive ? largeConfigurationReadInterval : Utils::Duration::zero();
    node.topicFollowers.configurations.extraSnapshotTimeout
        = isReadExpensive ? largeConfigurationExtraTimeout : Utils::Duration::zero();
    Logging::write(Logging::Level::Warning, "dependency_lost",
        { { "dependency", Utils::enumName(sourceKindNames, node.relay.sourceKind) } });
    if (!shouldSeekSource(node)) {
        resumeTopicFollowers(node);
        return;
    }
    if (!isLargeFleet(node))
        resumeFollowing(node, node.topicFollowers.leader);
    followUnconfirmedConfiguration(node);
    node.relay.connectToPeerNext = true;
    node.relay.lastConnectAttemptAt = {};
    scheduleStoreReading(node, searchTimeout(node));
}

/// Whether \a link was to a leader, and another VM is known to lead since.
bool hasBeenReplaced(const Node& node, const RelayLink& link)
{
    const std::optional<Granting::LeaderRecord>& leader = node.leader.leadership.lastRecord;
    return !link.vm.value.empty() && leader && !leader->vm.value.empty() && leader->vm != link.vm;
}

void handleSourceDisconnected(Node& node, const RelayLink& link)
{
    fallBackToStore(node);
    const bool isSeeking
        = !node.relay.isSubscribed && node.topicFollowers.reports.paused && shouldSeekSource(node);
    if (!isSeeking)
        return;
    // The leader names another relay in place of a lost one. A VM that starts tries it by turns with the
    // peers.
    const bool isStarting = !node.clusterView.directoryLoaded;
    node.relay.connectToPeerNext
        = link.relayAddress.empty() && !(isStarting && link.vm.value.empty()) && !hasBeenReplaced(node, link);
    node.relay.lastConnectAttemptAt = {};
}

/// The time for which this VM has been without a source; -1 if it had none before.
std::int64_t sourceLostMs(const Node& node)
{
    const Utils::Instant lostAt = node.relay.sourceLostAt;
    return lostAt == Utils::Instant {} ? -1 : Utils::toMilliseconds(now() - lostAt);
}

void switchToSource(Node& node, const RelayLink& link)
{
    if (node.relay.isSubscribed)
        return;
    node.relay.isSubscribed = true;
    node.relay.probes = 0;
    queueLeavingForSource(node);
    node.relay.sourceKind = sourceKindOf(link);
    cancelTimer(node.relay.storeReadTimer);
    Logging::write(Logging::Level::Info, "dependency_regained",
        { { "dependency", Utils::enumName(sourceKindNames, node.relay.sourceKind) }, { "vm", link.vm.value },
            { "relay", link.relayAddress }, { "lost_ms", sourceLostMs(node) } });
    pauseFollowingAll(node);
    redirectSubscribersToLeader(node);
}

/// Advances the offset of the reports to that of the source, which has relayed all changes before it.
void recordSourceProgress(Node& node, const RelayLink& link, const Relay::Update& update)
{
    TopicFollower& reports = node.topicFollowers.reports;
    if (reports.nextOffset)
        reports.nextOffset = std::max(*reports.nextOffset, update.reportsEnd);
    // While the store does not respond, what other VMs know is the newest that there is.
    const bool isNewest = update.isFresh || isStartingWithoutStore(node, now());
    if (!link.requestedAllReports || !isNewest || node.clusterView.directoryLoaded
        || !node.clusterView.routeTable)
        return;
    Logging::write(Logging::Level::Info, "started_from_peer",
        { { "vm", link.vm.value }, { "fresh", update.isFresh }, { "reports_end", update.reportsEnd } });
    reports.nextOffset = update.reportsEnd;
    node.clusterView.directoryLoaded = true;
}

void leaveStaleSource(Node& node, const LinkPtr& link)
{
    node.relay.staleSourceId = 0;
    fallBackToStore(node);
    if (shouldSeekSource(node) && !isDisconnectedFromLeaderAndStore(node))
        closeLink(node, link, "not_fresh");
}

/// Leaves a source unless it becomes fresh again meanwhile.
void scheduleLeavingStaleSource(Node& node, const LinkPtr& link)
{
    const std::uint64_t seed = Utils::stableHash(node.settings.name.value, node.incarnation);
    const bool hasSubscribers = !subscribedLinks(node).empty();
    const Utils::Duration usual = link->relayAddress.empty()
        ? Relay::staleSourcePatience(changeTimeout(node), hasSubscribers ? 0 : seed)
        : Relay::staleRelayPatience(changeTimeout(node), seed);
    const Utils::Duration patience
        = std::min(usual, latestStoreRead(node) - Relay::sourceSearchReserve - now());
    if (patience <= Utils::Duration::zero()) {
        leaveStaleSource(node, link);
        return;
    }
    startTimer(node.relay.staleSourceTimer, patience, [&node, link] {
        if (isOpen(node, *link) && node.relay.staleSourceId == link->id)
            leaveStaleSource(node, link);
    });
}

/// Connects to \a leader, of which another VM has a later record than this one had.
void connectToNamedLeader(Node& node, const Granting::LeaderRecord& leader)
{
    if (leader.vm.value.empty() || leader.vm == node.settings.name || node.relay.isSubscribed
        || (node.relay.sourceLink && node.relay.sourceLink->vm == leader.vm))
        return;
    if (node.relay.sourceLink)
        closeLink(node, LinkPtr(node.relay.sourceLink), "superseded");
    node.relay.connectToPeerNext = false;
    connectTo(node, leader.vm, leader.loadReportEndpoint);
}

/// Whether a source whose update says that it is fresh has newer records in time. Its own source may have
/// lost the one that reads the store without noticing.
bool hasRecentRecords(const Node& node) { return now() - recordsConfirmedAt(node) < changeTimeout(node); }

/// Records when the configuration that \a update has brought was known to be the newest, by its sender.
/// \param statedAt the time to which the ages in the update refer.
void confirmConfiguration(Node& node, const Relay::Update& update, Utils::Instant statedAt)
{
    // A former build only says whether it reads the store.
    const bool isConfirmed = update.configurationAge || (update.senderIsSource && update.isFresh);
    if (isConfirmed)
        node.relay.configurationConfirmedAt = std::max(node.relay.configurationConfirmedAt,
            statedAt - update.configurationAge.value_or(Utils::Duration::zero()));
}

/// Whether a VM that is asked may become the source. One that leads, or has a source, only takes what is new
/// of the operator's records.
bool mayReplaceSource(const Node& node)
{
    return !node.relay.isSubscribed && !Granting::holdsLeaderLease(node.leader.leadership, now());
}

/// Applies only the records of the operator in an update of a VM that does not become the source.
void applyOperatorRecordsOf(
    Node& node, const RelayLink& link, const Relay::Update& update, Utils::Instant statedAt)
{
    std::vector<Relay::RelayRecord> records;
    std::copy_if(update.records.begin(), update.records.end(), std::back_inserter(records),
        [](const Relay::RelayRecord& record) { return record.topic == RelayTopic::Configurations; });
    node.relay.updateKind = sourceKindOf(link);
    node.relay.updateHops = update.hops;
    applyRecords(node, records);
    confirmConfiguration(node, update, statedAt);
}

void handleUpdate(Node& node, const LinkPtr& link, const Relay::Update& update)
{
    if (update.senderIsSource && update.vmCount > 0)
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
    node.relay.sourceDelay = update.sentAt ? Relay::recordTransit(link->transitClock, *update.sentAt, now())
                                           : Utils::Duration::zero();
    // How long the first update was on its way is not known, but it left after it was asked for.
    const Utils::Instant statedAt
        = std::exchange(link->hasReceivedUpdate, true) ? now() - node.relay.sourceDelay : link->subscribedAt;
    const bool isProbe = node.relay.probeLink == link;
    if (isProbe && update.senderIsSource) {
        if (!update.isFresh || !mayReplaceSource(node)) {
            applyOperatorRecordsOf(node, *link, update, statedAt);
            closeLink(node, link, update.isFresh ? "asked" : "not_fresh");
            return;
        }
        promoteProbe(node);
    }
    node.relay.updateKind = update.senderIsSource ? sourceKindOf(*link) : SourceKind::Peer;
    node.relay.updateHops = update.hops;
    if (!applyRecords(node, update.records)) {
        // The first update of a new subscription contains the missing records.
        closeLink(node, link, "delta_without_base");
        node.relay.lastConnectAttemptAt = {};
        return;
    }
    if (!update.peers.empty())
        node.relay.peers = update.peers;
    if (!update.members.empty())
        recordMembers(node, update.members);
    node.relay.subscribersChanged |= !update.members.empty() && !node.relay.subscribers.empty();
    recordReportedLimits(node, update.limits, true);
    recordReportedLeaving(node, update.leaving, true);
    const std::optional<Utils::Offset> previousLeaderTopicEnd = node.leader.leadership.logEnd;
    // The sender may not know yet that the store has returned from an older copy.
    if (Platform::eraOf(update.leaderTopicEnd) >= node.leader.leadership.storeEra)
        Granting::recordLogRead(node.leader.leadership, update.leaderTopicEnd, leader, now());
    // A VM that is not a source sends a single response, which names the leader or a relay.
    if (!update.senderIsSource) {
        confirmConfiguration(node, update, statedAt);
        if (isProbe && !mayReplaceSource(node)) {
            closeLink(node, link, "asked");
            return;
        }
        // A relay that a probe has been redirected to takes the place of the source.
        if (isProbe && !update.relay.empty())
            promoteProbe(node);
        closeLink(node, link, update.relay.empty() ? "leader_named" : "redirected");
        node.relay.lastConnectAttemptAt = {};
        if (!update.relay.empty())
            subscribeToRelay(node, update.relay);
        else if (node.leader.leadership.logEnd != previousLeaderTopicEnd)
            connectToNamedLeader(node, *leader);
        return;
    }
    // Most VMs that are asked while sources are looked for are none.
    if (!std::exchange(link->hasDelivered, true))
        sendKnownCrashes(node, link);
    node.relay.sourceHops = update.hops;
    node.relay.sourceUpdatedAt = now();
    confirmConfiguration(node, update, statedAt);
    // A former build only says whether its reads are fresh.
    if (update.recordsAge || update.isFresh)
        node.relay.recordsConfirmedAt = std::max(
            node.relay.recordsConfirmedAt, statedAt - update.recordsAge.value_or(Utils::Duration::zero()));
    node.relay.sourceIsFresh = update.isFresh && hasRecentRecords(node);
    recordSourceProgress(node, *link, update);
    if (node.relay.sourceIsFresh) {
        node.relay.staleSourceId = 0;
        if (node.clusterView.routeTable && node.clusterView.directoryLoaded)
            switchToSource(node, *link);
        return;
    }
    if (!node.relay.isSubscribed)
        leaveStaleSource(node, link);
    else if (std::exchange(node.relay.staleSourceId, link->id) != link->id)
        scheduleLeavingStaleSource(node, link);
}

} // namespace Internal

} // namespace Edge
