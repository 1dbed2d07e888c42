#include <edge/clusterviewupdates.h>
#include <edge/crashreports.h>
#include <edge/clock.h>
#include <edge/configurationage.h>
#include <edge/evacuationupdates.h>
#include <edge/exchanges.h>
#include <edge/leaderelection.h>
#include <edge/leaving.h>
#include <edge/limitkeeping.h>
#include <edge/pendingreports.h>
#include <edge/recorddecoding.h>
#include <edge/relay.h>
#include <edge/upstreams.h>
#include <granting/assignmentdelta.h>
#include <granting/recordcodec.h>
#include <granting/recorderror.h>
#include <logging/log.h>
#include <platform/configurationdecoder.h>
#include <platform/evacuationrecord.h>
#include <platform/upstreamdecoder.h>
#include <routing/placementrules.h>

#include <boost/leaf.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

/// Upstreams that live report again within this time: three of their heartbeats.
constexpr Utils::Duration nextReportTime = std::chrono::seconds(3);

void recordDecodeError(
    Node& node, const Platform::StoreRecord& record, Platform::DecodeError error, const std::string& field)
{
    node.counters.decodeErrors.add(error);
    Logging::write(Logging::Level::Warning, "record_skipped",
        { { "key", record.key }, { "offset", record.offset },
            { "error", Utils::enumName(Platform::decodeErrorNames, error) }, { "field", field } });
}

/// Where the configuration comes from that is being applied.
std::string_view configurationSource(const Node& node)
{
    return node.relay.isApplyingUpdate ? Utils::enumName(sourceKindNames, node.relay.updateKind) : "store";
}

/// How long the records that are being applied were on their way from the source.
std::int64_t sourceDelayMs(const Node& node)
{
    return node.relay.isApplyingUpdate ? Utils::toMilliseconds(node.relay.sourceDelay) : 0;
}

void logConfigurationInForce(const Node& node, const Routing::Configuration& configuration,
    std::uint64_t previousVersion, Utils::Offset offset)
{
    const std::optional<Utils::Duration> age = configurationAge(node, now());
    Logging::write(Logging::Level::Info, "configuration_in_force",
        { { "version", configuration.version }, { "former", previousVersion },
            { "former_confirmed_ms", age ? Utils::toMilliseconds(*age) : -1 }, { "offset", offset },
            { "routes", configuration.routes.size() }, { "source", configurationSource(node) },
            { "hops", node.relay.isApplyingUpdate ? node.relay.updateHops + 1 : 0 },
            { "delay_ms", sourceDelayMs(node) } });
}

/// Requests are never sent to these regions, so that a misspelt one shows in the log.
void logUnknownHomes(const Node& node, const Routing::Configuration& configuration)
{
    for (const Utils::RegionId& region : Routing::findUnknownHomes(configuration, node.settings.regionByZone))
        Logging::write(Logging::Level::Warning, "home_region_unknown",
            { { "version", configuration.version }, { "region", region.value } });
}

/// Puts \a configuration in force unless the same or a later version is. Returns whether it did.
bool applyConfiguration(Node& node, Routing::Configuration configuration, Utils::Offset offset)
{
    const std::uint64_t previousVersion
        = node.clusterView.routeTable ? node.clusterView.routeTable->configuration.version : 0;
    if (node.clusterView.routeTable && configuration.version <= previousVersion)
        return false;
    logConfigurationInForce(node, configuration, previousVersion, offset);
    logUnknownHomes(node, configuration);
    Routing::recordLimits(node.clusterView.callerLimits, configuration.limits, now());
    node.clusterView.routeTable
        = std::make_shared<const Routing::RouteTable>(Routing::makeRouteTable(std::move(configuration)));
    node.clusterView.routeTableSince = now();
    return true;
}

void indexUpstreamsByService(Node& node)
{
    node.clusterView.upstreamsByService.clear();
    const Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (!it->second.isExpired)
            node.clusterView.upstreamsByService[it->second.record.service].push_back(it->first);
    }
}

/// Offset of the last report that was read.
Utils::Offset lastReadReportOffset(const Node& node)
{
    const Utils::Offset next = node.topicFollowers.reports.nextOffset.value_or(0);
    return next > 0 ? next - 1 : 0;
}

void logDirectoryChange(
    const Node& node, const Utils::UpstreamId& id, Routing::DirectoryChange change, Utils::Offset offset)
{
    const auto found = node.clusterView.directory.entries.find(id);
    const bool known = found != node.clusterView.directory.entries.end();
    Logging::write(Logging::Level::Info, "upstream_changed",
        { { "upstream", id.value }, { "change", Utils::enumName(Routing::directoryChangeNames, change) },
            { "offset", offset }, { "sequence", known ? found->second.record.sequence : 0 },
            { "born_ms", known ? found->second.record.startTimeMs : 0 },
            { "delay_ms", sourceDelayMs(node) } });
}

/// Marks other upstreams at the address of \a record as terminated if they started earlier.
void terminatePreviousAtSameAddress(Node& node, const Routing::UpstreamRecord& record)
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

void handleDirectoryChange(
    Node& node, const Utils::UpstreamId& id, Routing::DirectoryChange change, Utils::Offset offset)
{
    if (change == Routing::DirectoryChange::None)
        return;
    logDirectoryChange(node, id, change, offset);
    // Makes the leader plan the placement of keys again without waiting for the interval.
    node.leader.plannedAt = {};
    if (change == Routing::DirectoryChange::Added)
        node.leader.upstreamAddedAt = now();
    if (change == Routing::DirectoryChange::Removed)
        queueForRelay(node,
            { Relay::RelayTopic::Reports, id.value, std::nullopt,
                std::max(offset, lastReadReportOffset(node)) });
    const auto known = node.clusterView.directory.entries.find(id);
    const bool wasDraining
        = known != node.clusterView.directory.entries.end() && known->second.record.draining;
    if (change == Routing::DirectoryChange::Restarted
        || (change == Routing::DirectoryChange::Removed && !wasDraining))
        recordUpstreamVanished(node, id);
    if (change == Routing::DirectoryChange::Restarted || change == Routing::DirectoryChange::Removed)
        forgetLimit(node, id);
    if (change == Routing::DirectoryChange::Restarted) {
        closeIdleUpstreamConnections(node, id);
        node.traffic.upstreamStates[id].load = {};
        forgetUpstreamLeaving(node, id, node.clusterView.directory.entries.at(id).record.startTimeMs);
        recordUpstreamRestarted(node, id);
    }
    if (change == Routing::DirectoryChange::StartedDraining || change == Routing::DirectoryChange::Removed)
        closeIdleUpstreamConnections(node, id);
    if (change == Routing::DirectoryChange::Added || change == Routing::DirectoryChange::Restarted)
        terminatePreviousAtSameAddress(node, node.clusterView.directory.entries.at(id).record);
}

/// Whether an upstream can have started at \a startTimeMs. One that starts later is considered a mistake: all
/// reports of the upstream would look older. The clocks of VMs may be wrong, hence the margin.
bool isPlausibleStart(std::uint64_t startTimeMs)
{
    constexpr std::chrono::minutes maxClockError(10);
    const std::chrono::milliseconds latest = std::chrono::duration_cast<std::chrono::milliseconds>(
        (std::chrono::system_clock::now() + maxClockError).time_since_epoch());
    return startTimeMs <= static_cast<std::uint64_t>(latest.count());
}

/// Until when the upstream \a id remains cold by its last report.
Utils::Instant reportedColdEnd(const Node& node, const Utils::UpstreamId& id)
{
    const auto found = node.clusterView.directory.entries.find(id);
    return found == node.clusterView.directory.entries.end()
        ? Utils::Instant {}
        : found->second.reportedAt + found->second.record.remainingColdTime;
}

/// Whether the upstream \a id has become cold or warm in service since it was to be cold until \a formerEnd.
/// Reports of a cold time that passes name the same end, but for the time for which they were on their way.
bool hasColdTimeChanged(const Node& node, const Utils::UpstreamId& id, Utils::Instant formerEnd)
{
    constexpr Utils::Duration margin = std::chrono::milliseconds(300);
    const Utils::Instant at = now();
    const Utils::Instant end = std::max(reportedColdEnd(node, id), at);
    const Utils::Instant former = std::max(formerEnd, at);
    return std::max(end, former) - std::min(end, former) > margin;
}

void logColdTimeChanged(const Node& node, const Utils::UpstreamId& id, Utils::Offset offset)
{
    Logging::write(Logging::Level::Info, "cold_time_changed",
        { { "upstream", id.value }, { "offset", offset },
            { "left_ms",
                std::max<std::int64_t>(Utils::toMilliseconds(reportedColdEnd(node, id) - now()), 0) },
            { "delay_ms", sourceDelayMs(node) } });
}

/// Applies \a report, which \a record holds, to the directory.
void applyNamedReport(Node& node, const Routing::UpstreamRecord& report, const Platform::StoreRecord& record)
{
    const Utils::UpstreamId& id = report.id;
    const Utils::Instant formerColdEnd = reportedColdEnd(node, id);
    const Routing::DirectoryChange change
        = Routing::applyReport(node.clusterView.directory, report, record.offset, now());
    handleDirectoryChange(node, id, change, record.offset);
    const bool isColdTimeChanged
        = change == Routing::DirectoryChange::None && hasColdTimeChanged(node, id, formerColdEnd);
    if (isColdTimeChanged) {
        node.leader.plannedAt = {};
        logColdTimeChanged(node, id, record.offset);
    }
    if (change != Routing::DirectoryChange::None || isColdTimeChanged)
        queueForRelay(node, { Relay::RelayTopic::Reports, record.key, record.value, record.offset });
}

/// Applies the reports whose service a new configuration names.
void applyPendingReports(Node& node)
{
    const std::vector<PendingReport> named = takeNamedReports(node);
    for (const PendingReport& pending : named)
        applyNamedReport(node, pending.report, pending.record);
    if (named.empty())
        return;
    indexUpstreamsByService(node);
    resumeWaitingExchanges(node);
}

void applyUpstreamReport(Node& node, const Platform::StoreRecord& record)
{
    if (record.key.empty())
        return;
    const Utils::UpstreamId id { record.key };
    if (!record.value) {
        dropPendingReports(node, id);
        handleDirectoryChange(node, id,
            Routing::applyRemoval(node.clusterView.directory, id, record.offset, now()), record.offset);
        return;
    }
    std::optional<Routing::UpstreamRecord> report = decodeOrSkip<Routing::UpstreamRecord>(
        node, record, [&record] { return Platform::decodeUpstream(record.key, *record.value); });
    if (!report)
        return;
    if (!isPlausibleStart(report->startTimeMs)) {
        recordDecodeError(node, record, Platform::DecodeError::OutOfRange, "born");
        return;
    }
    if (isServiceNamed(node, *report))
        applyNamedReport(node, *report, record);
    else
        keepPendingReport(node, std::move(*report), record);
}

/// Expires the upstream \a id without a grace period, also during a store outage.
void expireUpstream(Node& node, const Utils::UpstreamId& id, Utils::Offset offset)
{
    const auto found = node.clusterView.directory.entries.find(id);
    if (found == node.clusterView.directory.entries.end() || found->second.isExpired
        || found->second.offset > offset)
        return;
    found->second.missingSince = now();
    found->second.isExpired = true;
    found->second.offset = offset;
    handleDirectoryChange(node, id, Routing::DirectoryChange::Removed, offset);
}

bool isNewer(const Granting::KeyAssignment& one, const Granting::KeyAssignment& other)
{
    return std::pair(one.term, one.version) > std::pair(other.term, other.version);
}

} // namespace Internal

void applyOperatorRecords(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    for (const Platform::StoreRecord& record : records) {
        if (Platform::isEvacuationKey(record.key))
            applyEvacuation(node, record);
        else if (isEvacuationList(record))
            applyEvacuationList(node, record);
        if (record.key != Platform::configurationKey || !record.value)
            continue;
        std::optional<Routing::Configuration> configuration = Internal::decodeOrSkip<Routing::Configuration>(
            node, record, [&record] { return Platform::decodeConfiguration(*record.value); });
        if (!configuration || !Internal::applyConfiguration(node, std::move(*configuration), record.offset))
            continue;
        queueForRelay(node, { Relay::RelayTopic::Configurations, record.key, record.value, record.offset });
        Internal::applyPendingReports(node);
    }
    flushRelay(node);
}

void applyOperatorSnapshot(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end)
{
    applyOperatorRecords(node, records);
    endMissingEvacuations(node, records, end);
    node.clusterView.operatorRecordsReadAt = now();
}

void applyUpstreamReports(Node& node, const std::vector<Platform::StoreRecord>& records)
{
    for (const Platform::StoreRecord& record : records)
        Internal::applyUpstreamReport(node, record);
    Internal::indexUpstreamsByService(node);
    resumeWaitingExchanges(node);
    flushRelay(node);
}

void applyUpstreamSnapshot(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end)
{
    std::set<std::string> reported;
    Routing::UpstreamDirectory& directory = node.clusterView.directory;
    for (const Platform::StoreRecord& record : records) {
        reported.insert(record.key);
        Internal::applyUpstreamReport(node, record);
        if (!directory.entries.contains({ record.key }))
            node.clusterView.mayMissUpstreamsUntil = now() + Internal::nextReportTime;
    }
    std::vector<Utils::UpstreamId> missing;
    for (auto it = directory.entries.begin(); it != directory.entries.end(); ++it) {
        if (!reported.contains(it->first.value))
            missing.push_back(it->first);
    }
    for (const Utils::UpstreamId& id : missing)
        Internal::handleDirectoryChange(node, id, Routing::applyRemoval(directory, id, end, now()), end);
    keepOnlyPendingReportsOf(node, reported);
    node.clusterView.directoryLoaded = true;
    Internal::indexUpstreamsByService(node);
    resumeWaitingExchanges(node);
    flushRelay(node);
}

void applyUpstreamRemoval(Node& node, const Utils::UpstreamId& id, Utils::Offset offset)
{
    dropPendingReports(node, id);
    Internal::expireUpstream(node, id, offset);
    Internal::indexUpstreamsByService(node);
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
        Internal::handleDirectoryChange(node, id, Routing::DirectoryChange::Removed, 0);
    if (expired.empty())
        return;
    Internal::indexUpstreamsByService(node);
    flushRelay(node);
}

} // namespace Edge
