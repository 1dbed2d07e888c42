#include <edge/assignmentrecords.h>
#include <edge/backlog.h>
#include <edge/clusterviewupdates.h>
#include <edge/clock.h>
#include <edge/topicfollowing.h>
#include <edge/grantcalls.h>
#include <edge/keyplanning.h>
#include <edge/leadershiplog.h>
#include <edge/leaderelection.h>
#include <edge/quarantinerecords.h>
#include <edge/relay.h>
#include <edge/relaysource.h>
#include <edge/relaytree.h>
#include <edge/storecalls.h>
#include <edge/storereads.h>
#include <edge/upstreamreach.h>
#include <edge/storeera.h>
#include <edge/topics.h>
#include <granting/grantingconstants.h>
#include <granting/recordcodec.h>
#include <granting/storereturn.h>
#include <relay/relaytree.h>
#include <logging/log.h>
#include <utils/hash.h>

#include <boost/leaf.hpp>

#include <algorithm>
#include <memory>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Platform::StoreOutcome;

/// Interval of tick() on the leader and on a standby.
constexpr Utils::Duration leaderTickInterval = std::chrono::milliseconds(100);

constexpr Utils::Duration standbyTickInterval = std::chrono::milliseconds(250);

/// The record is part of each update to subscribers.
constexpr std::size_t maxRecordedRelays = 8;

void clearLeaderState(Node& node, const char* reason)
{
    const bool wasLeader
        = !node.leader.granters.empty() || node.leader.readInProgress || node.leader.assignmentTopicEnd;
    if (!wasLeader)
        return;
    logNotLeading(node.leader.leadership, reason);
    resetQuarantineRecords(node);
    disconnectSubscribers(node);
    if (!node.relay.isSubscribed)
        resumeFollowing(node, node.topicFollowers.assignments);
    node.leader.granters.clear();
    node.leader.hasWrittenInTerm = false;
    node.leader.readInProgress = false;
    node.leader.writeInProgress = false;
    node.leader.rereadNeeded = false;
    node.leader.assignmentTopicEnd.reset();
}

/// Addresses of some VMs that a starting VM may ask if the leader is gone.
std::vector<std::string> recordedRelays(const Node& node)
{
    std::vector<std::string> relays = subscriberAddresses(node);
    relays.resize(std::min(relays.size(), maxRecordedRelays));
    return relays;
}

void appendLeaseRecord(Node& node)
{
    Granting::Leadership& leadership = node.leader.leadership;
    if (!leadership.term)
        Granting::updateSettledEra(leadership);
    leadership.self.vmCount = node.relay.vmCount;
    leadership.self.relays = isLargeFleet(node) ? recordedRelays(node) : std::vector<std::string>();
    Granting::recordAppendSent(leadership, now());
    Platform::AppendParameters parameters;
    parameters.topic = leaderTopic;
    parameters.expectedEnd = *leadership.logEnd;
    callStore(node,
        Platform::makeAppendRequest(
            node.settings.storeEndpoint, parameters, { Granting::encodeLeader(leadership.self) }),
        appendTimeout, [&node, sentAt = now()](StoreOutcome outcome, const std::string& body) {
            recordWriteLatency(node, now() - sentAt);
            Granting::Leadership& leadership = node.leader.leadership;
            if (outcome != StoreOutcome::Done) {
                resumeFollowing(node, node.topicFollowers.leader);
                if (outcome == StoreOutcome::Unknown || outcome == StoreOutcome::Malformed)
                    Granting::recordAppendOutcomeUnknown(leadership);
                else
                    Granting::recordAppendRejected(leadership);
                return;
            }
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(offset, Platform::decodeAppendResponse(body, storeEraOf(node)));
                    Granting::recordAppendSucceeded(leadership, offset);
                    return {};
                },
                [&]() {
                    Logging::write(Logging::Level::Error, "append_answer_unreadable", {});
                    Granting::recordAppendOutcomeUnknown(leadership);
                });
            // While the lease is renewed nobody else writes to the topic; a record of another VM would make
            // the next conditional append fail.
            if (leadership.term && !leadership.unknownAppendSince)
                pauseFollowing(node, node.topicFollowers.leader);
        });
}

void runLeaderTasks(Node& node, Utils::Instant at)
{
    LeaderState& leader = node.leader;
    if (leader.loggedTerm != leader.leadership.term) {
        logLeading(leader.leadership);
        leader.termStartedAt = at;
        deferGrantsUnlessSettled(node);
    }
    leader.loggedTerm = leader.leadership.term;
    syncQuarantineRecords(node, at);
    if (!leader.assignmentTopicEnd || leader.rereadNeeded) {
        if (!leader.readInProgress)
            readAssignments(node);
        if (!leader.hasWrittenInTerm)
            return;
    }
    if (at < leader.grantsNotBefore)
        return;
    // Before, the records read may be stale, and a part of the assignments may be in this VM's memory only.
    if (leader.hasWrittenInTerm) {
        leader.settledEra = leader.leadership.storeEra;
        leader.leadership.self.settledEra = leader.leadership.storeEra;
    }
    if (!leader.rereadNeeded)
        planKeyPlacements(node, at);
    // Nothing is granted before the first write has shown that the records read before were the newest.
    // Planning may take long on a slow VM.
    const Utils::Instant plannedAt = now();
    if (leader.hasWrittenInTerm && Granting::holdsLeaderLease(leader.leadership, plannedAt))
        sendDueGrants(node, plannedAt);
}

/// Whether this VM is among those that try first to acquire the lease.
bool isLeaseCandidate(const Node& node)
{
    const std::optional<Granting::LeaderRecord>& last = node.leader.leadership.lastRecord;
    const bool wasLeader = last && last->loadReportEndpoint.address == node.settings.address;
    return wasLeader || isStoreReader(node);
}

/// Whether this VM is known to read all topics. One with a source does not try to.
bool isInformed(const Node& node) { return !node.relay.isSubscribed && hasFreshReads(node); }

/// Whether this VM leads others, which rely on what it reads.
bool isReliedOn(const Node& node, Utils::Instant at)
{
    return Granting::holdsLeaderLease(node.leader.leadership, at) && !subscribedLinks(node).empty();
}

/// Resigns if the store leaves a topic unread for this VM. It gets the records of that topic from another VM
/// then, as do those that have relied on it.
void resignIfTopicIsUnreadable(Node& node, Utils::Instant at)
{
    if (!isReliedOn(node, at) || node.leader.leadership.pendingAppendSince)
        return;
    const TopicFollower* const topic = findUnreadableTopic(node);
    if (!topic)
        return;
    Logging::write(Logging::Level::Warning, "topic_unreadable",
        { { "topic", topic->topic }, { "unread_ms", Utils::toMilliseconds(at - topic->lastResponseAt) },
            { "failures", topic->consecutiveFailures },
            { "renewed_ms",
                Utils::toMilliseconds(at - Granting::lastRenewalSentAt(node.leader.leadership)) } });
    node.relay.peers = subscriberAddresses(node);
    node.relay.connectToPeerNext = true;
    node.relay.lastConnectAttemptAt = {};
    resign(node, "topic_unreadable");
}

void tick(Node& node)
{
    if (node.stopping && node.closing)
        return;
    const Utils::Instant at = now();
    expireMissingUpstreams(node);
    Granting::Leadership& leadership = node.leader.leadership;
    if (!leadership.term)
        clearLeaderState(node, "superseded");
    // Key leases that a VM cut off from the upstreams can't renew would expire for callers of all VMs.
    if (isReachLost(node))
        resign(node, "reach_lost");
    resignIfTopicIsUnreadable(node, at);
    const bool mayAcquire = leadership.term
        || (!node.stopping && !isReachLost(node) && node.clusterView.routeTable
            && node.clusterView.directoryLoaded);
    const bool isDue = mayAcquire && Granting::isAppendDue(leadership, leaseAcquisitionJitter(node), at)
        && !Granting::isAcquisitionDeferred(
            leadership, std::max<std::size_t>(node.relay.vmCount, 1), isLeaseCandidate(node), at)
        && !Granting::isLeftToInformedVms(leadership, isInformed(node), at);
    // A VM without recent requests may be cut off from the upstreams without having noticed.
    const bool isWaiting = isDue && !leadership.term && !confirmReach(node);
    if ((isDue && !isWaiting) || (isReliedOn(node, at) && needsStoreProbe(node)))
        appendLeaseRecord(node);
    if (Granting::holdsLeaderLease(leadership, at))
        runLeaderTasks(node, at);
    const bool isAttentive = leadership.term || isWaiting || Granting::isAcquisitionNear(leadership, at);
    node.leader.timer.expires_after(isAttentive ? leaderTickInterval : standbyTickInterval);
    node.leader.timer.async_wait([&node](const ErrorCode& error) {
        if (!error)
            tick(node);
    });
}

void applyNewestLeaderRecord(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    const Platform::StoreRecord& newest = records.back();
    const std::optional<Granting::LeaderRecord> record = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Granting::LeaderRecord>> {
            BOOST_LEAF_AUTO(leader, Granting::decodeLeader(newest.value.value_or("")));
            return std::optional<Granting::LeaderRecord>(leader);
        },
        [&]() {
            Logging::write(Logging::Level::Error, "record_skipped", { { "topic", leaderTopic } });
            return std::optional<Granting::LeaderRecord>();
        });
    Granting::recordLogRead(node.leader.leadership, newest.offset + 1, record, now());
    if (record && !record->relays.empty() && !node.clusterView.directoryLoaded)
        node.relay.peers = record->relays;
}

} // namespace Internal

double leaseAcquisitionJitter(const Node& node)
{
    constexpr double range = 65536;
    const double randomDelay
        = static_cast<double>(Utils::stableHash(node.settings.name.value, node.incarnation) % 65536) / range;
    const double capacity = Relay::relayCapacity(
        static_cast<unsigned>(node.settings.cpuShare * 100), node.settings.linkMegabits);
    const double lowCapacityDelay = capacity < 1 ? 0.5 : 0;
    const double remoteStoreDelay = node.minStoreLatency > maxLocalStoreLatency ? 0.25 : 0;
    return lowCapacityDelay + remoteStoreDelay + randomDelay / 4;
}

void startLeaderElection(Node& node)
{
    node.leader.electionStartedAt = now();
    Internal::tick(node);
}

void applyLeaderRecords(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    Internal::applyNewestLeaderRecord(node, records);
}

void recordLeaderTopicEnd(Node& node, Utils::Offset end)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    const bool isKnown = leadership.logEnd && *leadership.logEnd >= end;
    if (!isKnown)
        Granting::recordLogRead(node.leader.leadership, end, std::nullopt, now());
}

void recordUpstreamTerminated(Node& node, const Utils::UpstreamId& upstream)
{
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it)
        logEndedHolds(it->first, Granting::recordTermination(it->second, upstream), "terminated");
}

void recordUpstreamRestarted(Node& node, const Utils::UpstreamId& upstream)
{
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it)
        Granting::recordRestart(it->second, upstream);
}

void applyLoadReport(Node& node, const Granting::LoadReport& report)
{
    for (const Granting::ServiceKeyCounts& keys : report.services) {
        Granting::KeyLoad& load = node.leader.keyLoads[keys.service];
        Granting::decay(load, now());
        for (auto it = keys.counts.begin(); it != keys.counts.end(); ++it)
            Granting::addRequests(load, it->first, it->second);
    }
}

void resign(Node& node, const char* reason)
{
    Granting::Leadership& leadership = node.leader.leadership;
    if (!Granting::holdsLeaderLease(leadership, now()) || leadership.pendingAppendSince)
        return;
    Platform::AppendParameters parameters;
    parameters.topic = leaderTopic;
    parameters.expectedEnd = *leadership.logEnd;
    Granting::stepDown(leadership);
    Internal::clearLeaderState(node, reason);
    // The next leader is known only by its record.
    if (!node.stopping)
        resumeFollowing(node, node.topicFollowers.leader);
    Granting::LeaderRecord resignation;
    resignation.settledEra = leadership.self.settledEra;
    callStore(node,
        Platform::makeAppendRequest(
            node.settings.storeEndpoint, parameters, { Granting::encodeLeader(resignation) }),
        Internal::appendTimeout, [](Platform::StoreOutcome outcome, const std::string&) {
            Logging::write(Logging::Level::Info, "resigned",
                { { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) } });
        });
}

} // namespace Edge
