#include <edge/assignmentrecords.h>
#include <edge/beliefupdates.h>
#include <edge/clock.h>
#include <edge/following.h>
#include <edge/relay.h>
#include <edge/storecaller.h>
#include <edge/topics.h>
#include <granting/recordcodec.h>
#include <logging/log.h>

#include <boost/leaf.hpp>
#include <algorithm>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using Platform::StoreOutcome;

std::vector<std::string> encodeRecords(const std::vector<Granting::KeyAssignment>& assignments)
{
    std::vector<std::string> records;
    records.reserve(assignments.size());
    for (const Granting::KeyAssignment& assignment : assignments)
        records.push_back(
            Platform::keyedRecord(assignment.service.value, Granting::encodeAssignment(assignment)));
    return records;
}

void noteRecordsWritten(
    Node& node, const std::vector<Granting::KeyAssignment>& assignments, Utils::Offset firstOffset)
{
    Utils::Offset offset = firstOffset;
    node.leader.assignmentEnd = firstOffset + assignments.size();
    // Nobody else writes there in this term.
    pauseFollowing(node, node.followers.assignments);
    node.leader.prepared = true;
    for (const Granting::KeyAssignment& assignment : assignments) {
        const auto granter = node.leader.granters.find(assignment.service);
        if (granter == node.leader.granters.end()) {
            ++offset;
            continue;
        }
        Granting::noteWritten(granter->second, assignment);
        const Granting::KeyAssignment former = node.beliefs.assignments[assignment.service];
        takeAssignment(node, granter->second.assignment);
        passOnChanges(node, former, granter->second.assignment, offset++);
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

/// Load pattern: many upstreams end and their addresses are used again just before another VM leads. The
/// record still names them, and each of their keys would wait for the end of the longest hold.
void forgetEnded(const Node& node, Granting::Granter& granter)
{
    const Routing::UpstreamDirectory& directory = node.beliefs.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (it->second.ended)
            Granting::noteEnded(granter, it->first);
    }
}

/// Takes what stands in the store. Before this leader's first write has succeeded, its granters begin with
/// it, as an earlier read may have been stale. After that they know better: the store has either a write of
/// this leader's own that got no answer, or one of a former leader that was carried out late; both are
/// written over.
void takeReread(Node& node, const Platform::StorePage& page)
{
    const std::map<Utils::ServiceId, Granting::KeyAssignment> stored = decodeAssignments(page);
    node.leader.assignmentEnd = page.end;
    node.leader.rereadNeeded = false;
    for (auto it = stored.begin(); it != stored.end(); ++it) {
        const auto granter = node.leader.granters.find(it->first);
        if (granter == node.leader.granters.end() || !node.leader.prepared) {
            node.leader.granters[it->first] = Granting::takeOver(
                it->second, *node.leader.leadership.term, node.settings.bounds.longestHold, now());
            forgetEnded(node, node.leader.granters[it->first]);
            continue;
        }
        granter->second.assignment.version = std::max(granter->second.assignment.version, it->second.version);
        granter->second.changed = true;
    }
}

void writeAssignments(Node& node, std::vector<Granting::KeyAssignment> assignments)
{
    node.leader.writing = true;
    const std::uint64_t term = *node.leader.leadership.term;
    Platform::AppendTerms terms;
    terms.topic = assignmentTopic;
    terms.onlyAtEnd = node.leader.assignmentEnd;
    Platform::HttpRequest request
        = Platform::appendCall(node.settings.store, terms, encodeRecords(assignments));
    callStore(node, std::move(request), appendTime,
        [&node, term, assignments = std::move(assignments)](StoreOutcome outcome, const std::string& body) {
            if (node.leader.leadership.term != term)
                return;
            node.leader.writing = false;
            const std::optional<Utils::Offset> offset = leaf::try_handle_all(
                [&]() -> leaf::result<std::optional<Utils::Offset>> {
                    if (outcome != StoreOutcome::Done)
                        return std::optional<Utils::Offset>();
                    BOOST_LEAF_AUTO(first, Platform::decodeAppend(body));
                    return std::optional<Utils::Offset>(first);
                },
                [&]() { return std::optional<Utils::Offset>(); });
            if (offset) {
                noteRecordsWritten(node, assignments, *offset);
                return;
            }
            Logging::write(Logging::Level::Warning, "assignment_not_written",
                { { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) }, { "term", term } });
            node.leader.rereadNeeded = outcome != StoreOutcome::Refused;
        });
}

void readAssignments(Node& node)
{
    node.leader.preparing = true;
    const std::uint64_t term = *node.leader.leadership.term;
    callStore(node, Platform::newestCall(node.settings.store, assignmentTopic, ""), appendTime,
        [&node, term](StoreOutcome outcome, const std::string& body) {
            if (node.leader.leadership.term != term)
                return;
            node.leader.preparing = false;
            if (outcome != StoreOutcome::Done)
                return;
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(page, Platform::decodeNewest(body));
                    takeReread(node, page);
                    return {};
                },
                [&]() { Logging::write(Logging::Level::Error, "assignments_unreadable", {}); });
        });
}

} // namespace Internal

} // namespace Edge
