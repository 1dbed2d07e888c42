#include <edge/assignmentrecords.h>
#include <edge/clusterviewupdates.h>
#include <edge/clock.h>
#include <edge/leadershiplog.h>
#include <edge/topicfollowing.h>
#include <edge/relay.h>
#include <edge/storecalls.h>
#include <edge/storeera.h>
#include <edge/topics.h>
#include <granting/recordcodec.h>
#include <granting/storereturn.h>
#include <logging/log.h>
#include <platform/storeposition.h>

#include <boost/leaf.hpp>
#include <algorithm>
#include <set>
#include <utility>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using Platform::StoreOutcome;

/// Interval between two writes while the store acknowledges none.
constexpr Utils::Duration rewriteInterval = std::chrono::milliseconds(150);

std::vector<std::string> encodeRecords(const std::vector<Granting::KeyAssignment>& assignments)
{
    std::vector<std::string> records;
    records.reserve(assignments.size());
    for (const Granting::KeyAssignment& assignment : assignments)
        records.push_back(
            Platform::encodeKeyedRecord(assignment.service.value, Granting::encodeAssignment(assignment)));
    return records;
}

void recordAssignmentsWritten(
    Node& node, const std::vector<Granting::KeyAssignment>& assignments, Utils::Offset firstOffset)
{
    Utils::Offset offset = firstOffset;
    node.leader.assignmentTopicEnd = firstOffset + assignments.size();
    // Only this VM writes to the topic in this term, so there is nothing to read.
    pauseFollowing(node, node.topicFollowers.assignments);
    node.leader.hasWrittenInTerm = true;
    for (const Granting::KeyAssignment& assignment : assignments) {
        const auto granter = node.leader.granters.find(assignment.service);
        if (granter == node.leader.granters.end()) {
            ++offset;
            continue;
        }
        Granting::applyWrittenRecord(granter->second, assignment);
        const Granting::KeyAssignment previous = node.clusterView.assignments[assignment.service];
        applyAssignment(node, granter->second.assignment);
        queueAssignmentChange(node, previous, granter->second.assignment, offset++);
    }
    flushRelay(node);
}

std::map<Utils::ServiceId, Granting::KeyAssignment> decodeAssignments(const Platform::StorePage& page)
{
    std::map<Utils::ServiceId, Granting::KeyAssignment> assignments;
    for (const Platform::StoreRecord& record : page.records) {
        if (!record.value)
            continue;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(assignment, Granting::decodeAssignment(*record.value));
                assignments[assignment.service] = assignment;
                return {};
            },
            [&]() {
                Logging::write(Logging::Level::Error, "record_skipped", { { "key", record.key } });
            });
    }
    return assignments;
}

/// Load pattern: many upstreams terminate and their addresses are reused just before another VM becomes the
/// leader. The stored assignment still names them as holders, so each of their keys would wait for the
/// maximum key lease to expire.
void recordTerminatedUpstreams(const Node& node, Granting::Granter& granter)
{
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (it->second.isTerminated)
            logEndedHolds(
                granter.assignment.service, Granting::recordTermination(granter, it->first), "terminated");
    }
}

/// Applies assignments that were read from the store. Until the first write of this leader has succeeded, the
/// granters are initialized from them, as an earlier read may have been stale. After that the granters are
/// authoritative: a differing record is either a write of this leader whose outcome was unknown, or a delayed
/// write of a previous leader; both are overwritten.
void applyStoredAssignments(Node& node, const Platform::StorePage& page)
{
    std::map<Utils::ServiceId, Granting::KeyAssignment> stored = decodeAssignments(page);
    if (!node.leader.hasWrittenInTerm
        && Granting::noticeDelayedWrite(node.leader.leadership, node.leader.settledEra, stored,
            Platform::makePosition(storeEraOf(node), 0)))
        deferGrantsUnlessSettled(node);
    const std::set<Utils::ServiceId> newerInMemory
        = Granting::replaceByNewer(stored, node.clusterView.assignments);
    node.leader.assignmentTopicEnd = page.endOffset;
    node.leader.rereadNeeded = false;
    for (auto it = stored.begin(); it != stored.end(); ++it) {
        const auto granter = node.leader.granters.find(it->first);
        if (granter == node.leader.granters.end() || !node.leader.hasWrittenInTerm) {
            const std::uint64_t lastVersion
                = granter == node.leader.granters.end() ? 0 : granter->second.lastVersion;
            node.leader.granters[it->first] = Granting::takeOver(it->second, *node.leader.leadership.term,
                node.settings.operatingLimits.maxKeyLease, now(), lastVersion);
            recordTerminatedUpstreams(node, node.leader.granters[it->first]);
            node.leader.granters[it->first].hasUnwrittenChanges = newerInMemory.contains(it->first);
            continue;
        }
        granter->second.assignment.version = std::max(granter->second.assignment.version, it->second.version);
        granter->second.hasUnwrittenChanges = true;
    }
}

void deferGrantsUnlessSettled(Node& node)
{
    LeaderState& leader = node.leader;
    leader.grantsNotBefore = Granting::earliestGrant(leader.leadership, leader.settledEra,
        node.settings.operatingLimits.maxKeyLease, leader.termStartedAt);
    if (leader.grantsNotBefore == leader.termStartedAt)
        return;
    Logging::write(Logging::Level::Warning, "grants_deferred",
        { { "era", leader.leadership.storeEra }, { "settled_era", leader.leadership.self.settledEra },
            { "ms", Utils::toMilliseconds(leader.grantsNotBefore - leader.termStartedAt) } });
}

/// Makes the leader write \a assignments, which the store has not acknowledged, again soon: no other change
/// of them may follow.
void requestRewrite(Node& node, const std::vector<Granting::KeyAssignment>& assignments)
{
    for (const Granting::KeyAssignment& assignment : assignments) {
        const auto granter = node.leader.granters.find(assignment.service);
        if (granter != node.leader.granters.end())
            granter->second.hasUnwrittenChanges = true;
    }
    node.leader.writeNotBefore = now() + rewriteInterval;
}

void writeAssignments(Node& node, std::vector<Granting::KeyAssignment> assignments)
{
    node.leader.writeInProgress = true;
    const std::uint64_t term = *node.leader.leadership.term;
    Platform::AppendParameters parameters;
    parameters.topic = assignmentTopic;
    parameters.expectedEnd = node.leader.assignmentTopicEnd;
    Platform::HttpRequest request
        = Platform::makeAppendRequest(node.settings.storeEndpoint, parameters, encodeRecords(assignments));
    callStore(node, std::move(request), appendTimeout,
        [&node, term, assignments = std::move(assignments)](StoreOutcome outcome, const std::string& body) {
            if (node.leader.leadership.term != term)
                return;
            node.leader.writeInProgress = false;
            const std::optional<Utils::Offset> offset = leaf::try_handle_all(
                [&]() -> leaf::result<std::optional<Utils::Offset>> {
                    if (outcome != StoreOutcome::Done)
                        return std::optional<Utils::Offset>();
                    BOOST_LEAF_AUTO(first, Platform::decodeAppendResponse(body, storeEraOf(node)));
                    return std::optional<Utils::Offset>(first);
                },
                [&]() { return std::optional<Utils::Offset>(); });
            if (offset) {
                recordAssignmentsWritten(node, assignments, *offset);
                return;
            }
            Logging::write(Logging::Level::Warning, "assignment_not_written",
                { { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) }, { "term", term } });
            node.leader.rereadNeeded = outcome != StoreOutcome::Rejected;
            requestRewrite(node, assignments);
        });
}

void readAssignments(Node& node)
{
    node.leader.readInProgress = true;
    const std::uint64_t term = *node.leader.leadership.term;
    callStore(node, Platform::makeNewestRecordsRequest(node.settings.storeEndpoint, assignmentTopic, ""),
        appendTimeout, [&node, term](StoreOutcome outcome, const std::string& body) {
            if (node.leader.leadership.term != term)
                return;
            node.leader.readInProgress = false;
            if (outcome != StoreOutcome::Done)
                return;
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(page, Platform::decodeNewestRecordsResponse(body, storeEraOf(node)));
                    applyStoredAssignments(node, page);
                    return {};
                },
                [&]() { Logging::write(Logging::Level::Error, "assignments_unreadable", {}); });
        });
}

} // namespace Internal

} // namespace Edge
