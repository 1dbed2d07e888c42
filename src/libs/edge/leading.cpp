#include <edge/beliefupdates.h>
#include <edge/clock.h>
#include <edge/following.h>
#include <edge/leadershiplog.h>
#include <edge/leading.h>
#include <edge/relay.h>
#include <edge/storecaller.h>
#include <edge/topics.h>
#include <granting/grantingconstants.h>
#include <granting/planplacement.h>
#include <granting/recordcodec.h>
#include <logging/log.h>
#include <platform/grantcalls.h>
#include <platform/headers.h>
#include <utils/hash.h>

#include <boost/leaf.hpp>

#include <algorithm>
#include <memory>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Granting::GrantAction;
using Granting::GrantAnswer;
using Platform::StoreOutcome;

/// Between two looks at what is due, while leading and while standing by.
constexpr Utils::Duration leadingTick = std::chrono::milliseconds(100);
constexpr Utils::Duration standbyTick = std::chrono::milliseconds(250);
/// Time for the store to answer an append; it takes 4 ms, and a third of a second when it is slow.
constexpr Utils::Duration appendTime = std::chrono::milliseconds(700);
/// Time for an upstream to answer a release, which waits for work on the keys to end.
constexpr Utils::Duration releaseTime = std::chrono::milliseconds(3000);
/// Between two looks at how keys are placed.
constexpr Utils::Duration planInterval = std::chrono::milliseconds(700);
/// Upstreams that start together are waited for before keys are placed for the first time: until none has
/// come for the one time, at most for the other.
constexpr Utils::Duration calmBeforePlan = std::chrono::milliseconds(900);
constexpr Utils::Duration longestPlanDelay = std::chrono::milliseconds(4500);

/// Part of a core with which a VM leads a large fleet; the smallest machines of the site files have a tenth.
constexpr double strongShare = 0.3;
/// Quickest answer of a store in the same region; between regions the way alone takes 40 ms.
constexpr Utils::Duration nearStore = std::chrono::milliseconds(25);
/// Seconds; work that seems shorter is a mistake of measurement.
constexpr double shortestWork = 0.001;

Utils::Duration holdTime(const Node& node, Utils::Instant at)
{
    const Utils::Duration longest = node.settings.bounds.longestHold;
    if (Granting::isStoreDoubtful(node.leader.leadership, at))
        return longest;
    return std::min(longest, Granting::calmHold);
}

void leaveOffice(Node& node, const char* why)
{
    if (!node.leader.granters.empty() || node.leader.prepared)
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

/// Writes \a assignments if nobody else has written since they were last read. After any other end the
/// records are read again, as they may or may not stand there.
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
            continue;
        }
        granter->second.assignment.version = std::max(granter->second.assignment.version, it->second.version);
        granter->second.changed = true;
    }
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

GrantAnswer answerOf(const CallReply& reply)
{
    constexpr unsigned statusOk = 200;
    if (reply.outcome == CallOutcome::ConnectionRefused)
        return GrantAnswer::ConnectionRefused;
    if (reply.outcome != CallOutcome::Answered)
        return GrantAnswer::Unknown;
    if (reply.status == statusOk)
        return GrantAnswer::Accepted;
    return Platform::isFencedOff(reply.status) ? GrantAnswer::FencedOff : GrantAnswer::Unknown;
}

Platform::HttpRequest requestFor(const GrantAction& action, const Routing::Endpoint& endpoint)
{
    if (action.kind == GrantAction::Kind::Release)
        return Platform::releaseCall(endpoint, action.span, action.token);
    return Platform::grantCall(endpoint, { action.span, action.token, action.hold, action.handover });
}

void takeGrantAnswer(Node& node, const GrantAction& action, const CallReply& reply)
{
    const auto granter = node.leader.granters.find(action.service);
    if (granter == node.leader.granters.end())
        return;
    const GrantAnswer answer = answerOf(reply);
    const Platform::ServerTold told = Platform::readServerTold(reply.status, reply.fields);
    const bool before = granter->second.changed;
    Granting::noteAnswer(granter->second, action, answer, told.handover, now());
    const bool renewal = action.kind == GrantAction::Kind::Grant && answer == GrantAnswer::Accepted
        && granter->second.changed == before;
    if (!renewal)
        logGrant(action, answer);
}

void sendAction(Node& node, const GrantAction& action)
{
    const auto entry = node.beliefs.directory.entries.find(action.upstream);
    if (entry == node.beliefs.directory.entries.end()) {
        takeGrantAnswer(node, action, {});
        return;
    }
    const Routing::Endpoint endpoint = entry->second.record.endpoint;
    const Utils::Duration timeout
        = action.kind == GrantAction::Kind::Grant ? Granting::grantTime : releaseTime;
    const std::uint64_t term = *node.leader.leadership.term;
    startCall(node.calls, endpoint, requestFor(action, endpoint), timeout,
        [&node, action, term](const CallReply& reply) {
            if (node.leader.leadership.term == term)
                takeGrantAnswer(node, action, reply);
        });
}

std::vector<Granting::KeyServer> serversOf(Node& node, const Granting::Granter& granter, Utils::Instant at)
{
    std::vector<Granting::KeyServer> servers;
    const Utils::ServiceId& service = granter.assignment.service;
    const Balancing::ServiceStats& stats = node.traffic.stats[service];
    const Routing::UpstreamDirectory& directory = node.beliefs.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        const Routing::DirectoryEntry& entry = it->second;
        if (entry.record.service != service || !Routing::isUsable(entry)
            || Granting::isLost(granter, it->first, at))
            continue;
        const double seconds = std::chrono::duration<double>(stats.serviceTime).count()
            * node.traffic.links[it->first].load.slowness;
        servers.push_back({ it->first, entry.record.slots / std::max(seconds, shortestWork) });
    }
    std::sort(servers.begin(), servers.end(),
        [](const Granting::KeyServer& one, const Granting::KeyServer& other) { return one.id < other.id; });
    return servers;
}

std::vector<Granting::KeyPlacement> placementsOf(const Granting::KeyAssignment& assignment)
{
    std::vector<Granting::KeyPlacement> placements;
    placements.reserve(assignment.segments.size());
    for (const Granting::Segment& segment : assignment.segments)
        placements.push_back({ segment.span, segment.holder });
    return placements;
}

std::optional<Granting::KeyAssignment> nextRecordFor(
    Node& node, Granting::Granter& granter, Utils::Instant at)
{
    Granting::KeyLoad& load = node.leader.loads[granter.assignment.service];
    Granting::decay(load, at);
    Granting::forgetDoubts(granter, at);
    const std::optional<std::vector<Granting::KeyPlacement>> plan
        = Granting::planPlacement(placementsOf(granter.assignment), serversOf(node, granter, at), load);
    if (!plan && !granter.changed && node.leader.prepared)
        return std::nullopt;
    if (granter.assignment.segments.empty() && !plan)
        return std::nullopt;
    Granting::KeyAssignment record = Granting::nextRecord(granter, plan);
    if (plan)
        logPlan(granter.assignment, record);
    granter.changed = false;
    return record;
}

void addGranters(Node& node)
{
    if (!node.beliefs.table)
        return;
    const std::map<Utils::ServiceId, Routing::Service>& services = node.beliefs.table->configuration.services;
    for (auto it = services.begin(); it != services.end(); ++it) {
        if (!it->second.keyed || node.leader.granters.contains(it->first))
            continue;
        Granting::Granter& granter = node.leader.granters[it->first];
        granter.assignment.service = it->first;
        granter.assignment.term = *node.leader.leadership.term;
    }
}

/// Whether this is a first start at which upstreams are still coming.
bool isFillingUp(const Node& node, Utils::Instant at)
{
    const bool first = std::all_of(node.leader.granters.begin(), node.leader.granters.end(),
        [](const std::pair<const Utils::ServiceId, Granting::Granter>& granter) {
            return granter.second.assignment.segments.empty();
        });
    return first && at < node.leader.startedAt + longestPlanDelay
        && at < node.leader.addedAt + calmBeforePlan;
}

void planAll(Node& node, Utils::Instant at)
{
    if (!node.beliefs.directoryLoaded || (!node.leader.prepared && isFillingUp(node, at))
        || node.leader.writing || Granting::isStoreDoubtful(node.leader.leadership, at))
        return;
    const bool changed = std::any_of(node.leader.granters.begin(), node.leader.granters.end(),
        [](const std::pair<const Utils::ServiceId, Granting::Granter>& granter) {
            return granter.second.changed;
        });
    if (!changed && node.leader.prepared && at - node.leader.plannedAt < planInterval)
        return;
    node.leader.plannedAt = at;
    addGranters(node);
    std::vector<Granting::KeyAssignment> records;
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        std::optional<Granting::KeyAssignment> record = nextRecordFor(node, it->second, at);
        if (record)
            records.push_back(std::move(*record));
    }
    if (!records.empty())
        writeAssignments(node, std::move(records));
}

void grantDue(Node& node, Utils::Instant at)
{
    const Utils::Duration hold = holdTime(node, at);
    for (auto it = node.leader.granters.begin(); it != node.leader.granters.end(); ++it) {
        const std::vector<GrantAction> actions = Granting::dueActions(it->second, hold, at);
        for (const GrantAction& action : actions)
            sendAction(node, action);
    }
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
