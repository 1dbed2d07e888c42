#include <edge/assignmentrecords.h>
#include <edge/beliefupdates.h>
#include <edge/clock.h>
#include <edge/following.h>
#include <edge/grantcalling.h>
#include <edge/keyplanning.h>
#include <edge/leadershiplog.h>
#include <edge/leading.h>
#include <edge/relay.h>
#include <edge/storecaller.h>
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
    const bool led = !node.leader.granters.empty() || node.leader.preparing || node.leader.assignmentEnd;
    if (!led)
        return;
    logNotLeading(node.leader.leadership, why);
    dismissMembers(node);
    if (!node.relaying.relied)
        resumeFollowing(node, node.followers.assignments);
    node.leader.granters.clear();
    node.leader.prepared = false;
    node.leader.preparing = false;
    node.leader.writing = false;
    node.leader.rereadNeeded = false;
    node.leader.assignmentEnd.reset();
}

void appendLease(Node& node)
{
    Granting::Leadership& leadership = node.leader.leadership;
    Granting::noteAppendSent(leadership, now());
    Platform::AppendTerms terms;
    terms.topic = leaderTopic;
    terms.onlyAtEnd = *leadership.end;
    callStore(node,
        Platform::appendCall(node.settings.store, terms, { Granting::encodeLeader(leadership.self) }),
        appendTime, [&node](StoreOutcome outcome, const std::string& body) {
            Granting::Leadership& leadership = node.leader.leadership;
            if (outcome != StoreOutcome::Done) {
                resumeFollowing(node, node.followers.leader);
                if (outcome == StoreOutcome::Unknown || outcome == StoreOutcome::Malformed)
                    Granting::noteAppendUnknown(leadership);
                else
                    Granting::noteAppendRefused(leadership);
                return;
            }
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(offset, Platform::decodeAppend(body));
                    Granting::noteAppended(leadership, offset);
                    return {};
                },
                [&]() {
                    Logging::write(Logging::Level::Error, "append_answer_unreadable", {});
                    Granting::noteAppendUnknown(leadership);
                });
            // Nobody else writes there while the lease is renewed; another's record shows in the next append.
            if (leadership.term && !leadership.doubtfulSince)
                pauseFollowing(node, node.followers.leader);
        });
}

void lead(Node& node, Utils::Instant at)
{
    LeaderDuty& leader = node.leader;
    if (leader.announced != leader.leadership.term)
        logLeading(leader.leadership);
    leader.announced = leader.leadership.term;
    if (!leader.assignmentEnd || leader.rereadNeeded) {
        if (!leader.preparing)
            readAssignments(node);
        if (!leader.prepared)
            return;
    }
    if (!leader.rereadNeeded)
        planAll(node, at);
    // Nothing is granted before a first write has shown that what was read is the newest.
    if (leader.prepared)
        grantDue(node, at);
}

/// When this VM claims a free lease, among all: VMs with a large part of a core and near the store come
/// first, as a leader makes most calls to the store and to holders of keys.
double claimPosition(const Node& node)
{
    constexpr double range = 65536;
    const double chance
        = static_cast<double>(Utils::stableHash(node.settings.name.value, node.incarnation) % 65536) / range;
    const double weak = node.settings.coreShare < strongShare ? 0.5 : 0;
    const double far = node.storeTime > nearStore ? 0.25 : 0;
    return weak + far + chance / 4;
}

void tick(Node& node)
{
    if (node.stopping && node.closing)
        return;
    const Utils::Instant at = now();
    expireReports(node);
    Granting::Leadership& leadership = node.leader.leadership;
    if (!leadership.term)
        leaveOffice(node, "superseded");
    const bool mayClaim
        = leadership.term || (!node.stopping && node.beliefs.table && node.beliefs.directoryLoaded);
    if (mayClaim && Granting::isAppendDue(leadership, claimPosition(node), at))
        appendLease(node);
    if (Granting::mayLead(leadership, at))
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
    Granting::noteRead(node.leader.leadership, newest.offset + 1, record, now());
}

} // namespace Internal

void startLeading(Node& node)
{
    node.leader.startedAt = now();
    Internal::tick(node);
}

void takeLeaderRead(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    Internal::takeLeaderRecords(node, records);
}

void noteLeaderEnd(Node& node, Utils::Offset end)
{
    const Granting::Leadership& leadership = node.leader.leadership;
    const bool seen = leadership.end && *leadership.end >= end;
    if (!seen)
        Granting::noteRead(node.leader.leadership, end, std::nullopt, now());
}

void noteUpstreamEnded(Node& node, const Utils::UpstreamId& upstream)
{
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it)
        Granting::noteEnded(it->second, upstream);
}

void noteUpstreamReborn(Node& node, const Utils::UpstreamId& upstream)
{
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it)
        Granting::noteLoss(it->second, upstream);
}

void takeLoadReport(Node& node, const Granting::LoadReport& report)
{
    for (const Granting::ServiceKeys& keys : report.services) {
        Granting::KeyLoad& load = node.leader.loads[keys.service];
        Granting::decay(load, now());
        for (auto it = keys.counts.begin(); it != keys.counts.end(); ++it)
            Granting::addRequests(load, it->first, it->second);
    }
}

void resign(Node& node)
{
    Granting::Leadership& leadership = node.leader.leadership;
    if (!Granting::mayLead(leadership, now()) || leadership.pendingSince)
        return;
    Platform::AppendTerms terms;
    terms.topic = leaderTopic;
    terms.onlyAtEnd = *leadership.end;
    Granting::stepDown(leadership);
    Internal::leaveOffice(node, "resigned");
    callStore(node, Platform::appendCall(node.settings.store, terms, { Granting::encodeLeader({}) }),
        Internal::appendTime, [](Platform::StoreOutcome outcome, const std::string&) {
            Logging::write(Logging::Level::Info, "resigned",
                { { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) } });
        });
}

} // namespace Edge
