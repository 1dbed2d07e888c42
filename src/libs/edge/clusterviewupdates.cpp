#include <edge/clusterviewupdates.h>
#include <edge/clock.h>
#include <edge/exchanges.h>
#include <edge/leaderelection.h>
#include <edge/relay.h>
#include <edge/upstreams.h>
#include <granting/assignmentdelta.h>
#include <granting/recordcodec.h>
#include <granting/recorderror.h>
#include <logging/log.h>
#include <platform/configurationdecoder.h>
#include <platform/fieldname.h>
#include <platform/upstreamdecoder.h>

#include <boost/leaf.hpp>

#include <algorithm>
#include <set>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

void reportUndecodable(
    Node& node, const Platform::StoreRecord& record, Platform::DecodeError error, const std::string& field)
{
    node.counters.decodeErrors.add(error);
    Logging::write(Logging::Level::Warning, "record_skipped",
        { { "key", record.key }, { "offset", record.offset },
            { "error", Utils::enumName(Platform::decodeErrorNames, error) }, { "field", field } });
}

/// Decodes \a record's value; nothing, after a log line, where it can't be used.
template <typename Value, typename Decode>
std::optional<Value> decodedOrSkipped(Node& node, const Platform::StoreRecord& record, Decode decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<Value>(std::move(value));
        },
        [&](Platform::DecodeError error, const Platform::FieldName& field) -> std::optional<Value> {
            reportUndecodable(node, record, error, field.name);
            return std::nullopt;
        },
        [&](Platform::DecodeError error) -> std::optional<Value> {
            reportUndecodable(node, record, error, "");
            return std::nullopt;
        },
        [&]() -> std::optional<Value> {
            reportUndecodable(node, record, Platform::DecodeError::Unreadable, "");
            return std::nullopt;
        });
}

/// Puts \a configuration in force unless a later one is; whether it did.
bool adopt(Node& node, Routing::Configuration configuration, Utils::Offset offset)
{
    const std::uint64_t former
        = node.clusterView.routeTable ? node.clusterView.routeTable->configuration.version : 0;
    if (node.clusterView.routeTable && configuration.version <= former)
        return false;
    Logging::write(Logging::Level::Info, "configuration_in_force",
        { { "version", configuration.version }, { "former", former }, { "offset", offset },
            { "routes", configuration.routes.size() } });
    node.clusterView.routeTable
        = std::make_shared<const Routing::RouteTable>(Routing::makeRouteTable(std::move(configuration)));
    return true;
}

void indexServices(Node& node)
{
    node.clusterView.upstreamsByService.clear();
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (!it->second.isExpired)
            node.clusterView.upstreamsByService[it->second.record.service].push_back(it->first);
    }
}

/// Last offset of the reports that has been read.
Utils::Offset readUpTo(const Node& node)
{
    const Utils::Offset next = node.topicFollowers.reports.nextOffset.value_or(0);
    return next > 0 ? next - 1 : 0;
}

void logChange(
    const Node& node, const Utils::UpstreamId& id, Routing::DirectoryChange change, Utils::Offset offset)
{
    const auto found = node.clusterView.directory.entries.find(id);
    const bool known = found != node.clusterView.directory.entries.end();
    Logging::write(Logging::Level::Info, "upstream_changed",
        { { "upstream", id.value }, { "change", Utils::enumName(Routing::directoryChangeNames, change) },
            { "offset", offset }, { "sequence", known ? found->second.record.sequence : 0 },
            { "born_ms", known ? found->second.record.startTimeMs : 0 } });
}

/// An upstream at the address of another, started later, shows that the other has ended.
void endFormerAt(Node& node, const Routing::UpstreamRecord& record)
{
    Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        const Routing::UpstreamRecord& other = it->second.record;
        if (other.id == record.id || other.endpoint != record.endpoint
            || other.startTimeMs >= record.startTimeMs)
            continue;
        it->second.isTerminated = true;
        recordUpstreamTerminated(node, other.id);
    }
}

void applyChange(
    Node& node, const Utils::UpstreamId& id, Routing::DirectoryChange change, Utils::Offset offset)
{
    if (change == Routing::DirectoryChange::None)
        return;
    logChange(node, id, change, offset);
    // Keys are placed anew at once.
    node.leader.plannedAt = {};
    if (change == Routing::DirectoryChange::Added)
        node.leader.upstreamAddedAt = now();
    if (change == Routing::DirectoryChange::Removed)
        queueForRelay(
            node, { Relay::RelayTopic::Reports, id.value, std::nullopt, std::max(offset, readUpTo(node)) });
    if (change == Routing::DirectoryChange::Restarted) {
        closeIdleUpstreamConnections(node, id);
        node.traffic.upstreamStates[id].load = {};
        recordUpstreamRestarted(node, id);
    }
    if (change == Routing::DirectoryChange::StartedDraining || change == Routing::DirectoryChange::Removed)
        closeIdleUpstreamConnections(node, id);
    if (change == Routing::DirectoryChange::Added || change == Routing::DirectoryChange::Restarted)
        endFormerAt(node, node.clusterView.directory.entries.at(id).record);
}

void takeReport(Node& node, const Platform::StoreRecord& record)
{
    if (record.key.empty())
        return;
    const Utils::UpstreamId id { record.key };
    if (!record.value) {
        applyChange(node, id, Routing::applyRemoval(node.clusterView.directory, id, record.offset, now()),
            record.offset);
        return;
    }
    const std::optional<Routing::UpstreamRecord> report = decodedOrSkipped<Routing::UpstreamRecord>(
        node, record, [&record] { return Platform::decodeUpstream(record.key, *record.value); });
    if (!report)
        return;
    const Routing::DirectoryChange change
        = Routing::applyReport(node.clusterView.directory, *report, record.offset, now());
    applyChange(node, id, change, record.offset);
    if (change != Routing::DirectoryChange::None)
        queueForRelay(node, { Relay::RelayTopic::Reports, record.key, record.value, record.offset });
}

/// \a id has ended for good, whatever the store's state.
void endUpstream(Node& node, const Utils::UpstreamId& id, Utils::Offset offset)
{
    const auto found = node.clusterView.directory.entries.find(id);
    if (found == node.clusterView.directory.entries.end() || found->second.isExpired
        || found->second.offset > offset)
        return;
    found->second.missingSince = now();
    found->second.isExpired = true;
    found->second.offset = offset;
    applyChange(node, id, Routing::DirectoryChange::Removed, offset);
}

bool isNewer(const Granting::KeyAssignment& one, const Granting::KeyAssignment& other)
{
    return std::pair(one.term, one.version) > std::pair(other.term, other.version);
}

} // namespace Internal

void applyConfigurations(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    for (const Platform::StoreRecord& record : records) {
        if (record.key != Platform::configurationKey || !record.value)
            continue;
        std::optional<Routing::Configuration> configuration
            = Internal::decodedOrSkipped<Routing::Configuration>(
                node, record, [&record] { return Platform::decodeConfiguration(*record.value); });
        if (configuration && Internal::adopt(node, std::move(*configuration), record.offset))
            queueForRelay(
                node, { Relay::RelayTopic::Configurations, record.key, record.value, record.offset });
    }
    flushRelay(node);
}

void applyUpstreamReports(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    for (const Platform::StoreRecord& record : records)
        Internal::takeReport(node, record);
    Internal::indexServices(node);
    resumeWaitingExchanges(node);
    flushRelay(node);
}

void applyUpstreamSnapshot(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end)
{
    std::set<std::string> named;
    for (const Platform::StoreRecord& record : records) {
        named.insert(record.key);
        Internal::takeReport(node, record);
    }
    std::vector<Utils::UpstreamId> missing;
    Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (!named.contains(it->first.value))
            missing.push_back(it->first);
    }
    for (const Utils::UpstreamId& id : missing)
        Internal::applyChange(node, id, Routing::applyRemoval(directory, id, end, now()), end);
    node.clusterView.directoryLoaded = true;
    Internal::indexServices(node);
    resumeWaitingExchanges(node);
    flushRelay(node);
}

void applyUpstreamRemoval(Node& node, const Utils::UpstreamId& id, Utils::Offset offset)
{
    Internal::endUpstream(node, id, offset);
    Internal::indexServices(node);
    resumeWaitingExchanges(node);
}

void applyAssignment(Node& node, const Granting::KeyAssignment& assignment)
{
    const auto found = node.clusterView.assignments.find(assignment.service);
    if (found != node.clusterView.assignments.end() && !Internal::isNewer(assignment, found->second))
        return;
    Logging::write(Logging::Level::Info, "assignment_in_force",
        { { "service", assignment.service.value }, { "term", assignment.term },
            { "version", assignment.version }, { "segments", assignment.segments.size() } });
    node.clusterView.assignments[assignment.service] = assignment;
    resumeWaitingExchanges(node);
}

void applyAssignments(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    for (const Platform::StoreRecord& record : records) {
        if (!record.value)
            continue;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(assignment, Granting::decodeAssignment(*record.value));
                applyAssignment(node, assignment);
                queueForRelay(
                    node, { Relay::RelayTopic::Assignments, record.key, record.value, record.offset });
                return {};
            },
            [&](Granting::RecordError error) {
                Logging::write(Logging::Level::Error, "record_skipped",
                    { { "key", record.key }, { "offset", record.offset },
                        { "error", Utils::enumName(Granting::recordErrorNames, error) } });
            },
            [&]() {
                Logging::write(Logging::Level::Error, "record_skipped", { { "key", record.key } });
            });
    }
    flushRelay(node);
}

bool applyAssignmentDelta(Node& node, const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(delta, Granting::decodeDelta(text));
            const std::optional<Granting::KeyAssignment> next
                = Granting::applyDelta(node.clusterView.assignments[delta.service], delta);
            if (next)
                applyAssignment(node, *next);
            return next.has_value();
        },
        []() {
            Logging::write(Logging::Level::Error, "assignment_delta_unreadable", {});
            return false;
        });
}

void expireMissingUpstreams(Node& node)
{
    const std::vector<Utils::UpstreamId> expired = Routing::expireMissing(node.clusterView.directory, now());
    for (const Utils::UpstreamId& id : expired)
        Internal::applyChange(node, id, Routing::DirectoryChange::Removed, 0);
    if (expired.empty())
        return;
    Internal::indexServices(node);
    flushRelay(node);
}

} // namespace Edge
