#include <edge/assignmentrecords.h>
#include <edge/clusterviewupdates.h>
#include <edge/clock.h>
#include <edge/topicfollowing.h>
#include <edge/grantcalls.h>
#include <edge/keyplanning.h>
#include <edge/leadershiplog.h>
#include <edge/leaderelection.h>
#include <edge/relay.h>
#include <edge/storecalls.h>
#include <edge/topics.h>
#include <granting/grantingconstants.h>
#include <granting/recordcodec.h>
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

/// Between two looks at what is due, while leading and while standing by.
constexpr Utils::Duration leadingTick = std::chrono::milliseconds(100);

constexpr Utils::Duration standbyTick = std::chrono::milliseconds(250);

/// Part of a core with which a VM leads a large fleet; the smallest machines of the site files have a tenth.
constexpr double strongShare = 0.3;

void leaveOffice(Node& node, const char* why)
{
    const bool led
        = !node.leader.granters.empty() || node.leader.readInProgress || node.leader.assignmentTopicEnd;
    if (!led)
        return;
    logNotLeading(node.leader.leadership, why);
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

void appendLease(Node& node)
{
    Granting::Leadership& leadership = node.leader.leadership;
    Granting::recordAppendSent(leadership, now());
    Platform::AppendParameters terms;
    terms.topic = leaderTopic;
    terms.expectedEnd = *leadership.logEnd;
    callStore(node,
        Platform::makeAppendRequest(
            node.settings.storeEndpoint, terms, { Granting::encodeLeader(leadership.self) }),
        appendTimeout, [&node](StoreOutcome outcome, const std::string& body) {
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
                    BOOST_LEAF_AUTO(offset, Platform::decodeAppendResponse(body));
                    Granting::recordAppendSucceeded(leadership, offset);
                    return {};
                },
                [&]() {
                    Logging::write(Logging::Level::Error, "append_answer_unreadable", {});
                    Granting::recordAppendOutcomeUnknown(leadership);
                });
            // Nobody else writes there while the lease is renewed; another's record shows in the next append.
            if (leadership.term && !leadership.unknownAppendSince)
                pauseFollowing(node, node.topicFollowers.leader);
        });
}

void lead(Node& node, Utils::Instant at)
{
    LeaderState& leader = node.leader;
    if (leader.loggedTerm != leader.leadership.term)
        logLeading(leader.leadership);
    leader.loggedTerm = leader.leadership.term;
    if (!leader.assignmentTopicEnd || leader.rereadNeeded) {
        if (!leader.readInProgress)
            readAssignments(node);
        if (!leader.hasWrittenInTerm)
            return;
    }
    if (!leader.rereadNeeded)
        planKeyPlacements(node, at);
    // Nothing is granted before a first write has shown that what was read is the newest.
    if (leader.hasWrittenInTerm)
        sendDueGrants(node, at);
}

/// When this VM claims a free lease, among all: VMs with a large part of a core and near the store come
/// first, as a leader makes most calls to the store and to holders of keys.
double claimPosition(const Node& node)
{
    constexpr double range = 65536;
    const double chance
        = static_cast<double>(Utils::stableHash(node.settings.name.value, node.incarnation) % 65536) / range;
    const double weak = node.settings.cpuShare < strongShare ? 0.5 : 0;
    const double far = node.minStoreLatency > maxLocalStoreLatency ? 0.25 : 0;
    return weak + far + chance / 4;
}

void tick(Node& node)
{
    if (node.stopping && node.closing)
        return;
    const Utils::Instant at = now();
    expireMissingUpstreams(node);
    Granting::Leadership& leadership = node.leader.leadership;
    if (!leadership.term)
        leaveOffice(node, "superseded");
    const bool mayClaim = leadership.term
        || (!node.stopping && node.clusterView.routeTable && node.clusterView.directoryLoaded);
    if (mayClaim && Granting::isAppendDue(leadership, claimPosition(node), at))
        appendLease(node);
    if (Granting::holdsLeaderLease(leadership, at))
        lead(node, at);
    node.leader.timer.expires_after(leadership.term ? leadingTick : standbyTick);
    node.leader.timer.async_wait([&node](const ErrorCode& error) {
        if (!error)
            tick(node);
    });
}

void takeLeaderRecords(Node& node, const std::vector<Platform::StoreRecord>& records)
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
}

} // namespace Internal

void startLeaderElection(Node& node)
{
    node.leader.startedAt = now();
    Internal::tick(node);
}

void applyLeaderRecords(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    Internal::takeLeaderRecords(node, records);
}

void recordLeaderTopicEnd(Node& node, Utils::Offset end)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    const bool seen = leadership.logEnd && *leadership.logEnd >= end;
    if (!seen)
        Granting::recordLogRead(node.leader.leadership, end, std::nullopt, now());
}

void recordUpstreamTerminated(Node& node, const Utils::UpstreamId& upstream)
{
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it)
        Granting::recordTermination(it->second, upstream);
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

void resign(Node& node)
{
    Granting::Leadership& leadership = node.leader.leadership;
    if (!Granting::holdsLeaderLease(leadership, now()) || leadership.pendingAppendSince)
        return;
    Platform::AppendParameters terms;
    terms.topic = leaderTopic;
    terms.expectedEnd = *leadership.logEnd;
    Granting::stepDown(leadership);
    Internal::leaveOffice(node, "resigned");
    callStore(node,
        Platform::makeAppendRequest(node.settings.storeEndpoint, terms, { Granting::encodeLeader({}) }),
        Internal::appendTimeout, [](Platform::StoreOutcome outcome, const std::string&) {
            Logging::write(Logging::Level::Info, "resigned",
                { { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) } });
        });
}

} // namespace Edge
