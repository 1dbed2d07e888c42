#include <routing/upstreamdirectory.h>

#include <algorithm>

namespace Routing {

namespace Internal {

/// A report that was written late is a few behind the last one. Larger differences are considered mistakes in
/// the one with the larger number.
constexpr std::uint64_t maxLateReports = 100;
/// Reports that may have been missed at once, in addition to one per millisecond.
constexpr std::uint64_t maxMissedReports = 10000;

/// Whether \a report can't be the upstream's own, as it would have written too many in between.
bool isTooFarAhead(const UpstreamRecord& report, const DirectoryEntry& known, Utils::Instant now)
{
    if (report.startTimeMs != known.record.startTimeMs || report.sequence <= known.record.sequence)
        return false;
    const std::int64_t elapsed = std::max<std::int64_t>(Utils::toMilliseconds(now - known.reportedAt), 0);
    return report.sequence - known.record.sequence > maxMissedReports + static_cast<std::uint64_t>(elapsed);
}

bool isOlder(const UpstreamRecord& report, const UpstreamRecord& known)
{
    if (report.startTimeMs != known.startTimeMs)
        return report.startTimeMs < known.startTimeMs;
    return report.sequence <= known.sequence && known.sequence - report.sequence <= maxLateReports;
}

DirectoryChange classifyChange(const DirectoryEntry& known, const UpstreamRecord& report)
{
    if (known.record.startTimeMs != report.startTimeMs || known.record.endpoint != report.endpoint)
        return DirectoryChange::Restarted;
    if (known.isExpired)
        return report.draining ? DirectoryChange::StartedDraining : DirectoryChange::Added;
    if (known.record.draining == report.draining)
        return DirectoryChange::None;
    return report.draining ? DirectoryChange::StartedDraining : DirectoryChange::StoppedDraining;
}

} // namespace Internal

DirectoryChange applyReport(
    UpstreamDirectory& directory, const UpstreamRecord& record, Utils::Offset offset, Utils::Instant now)
{
    const auto found = directory.entries.find(record.id);
    if (found == directory.entries.end()) {
        directory.entries.emplace(record.id, DirectoryEntry { record, offset, now, std::nullopt, false });
        return DirectoryChange::Added;
    }
    DirectoryEntry& known = found->second;
    if (offset <= known.offset || Internal::isOlder(record, known.record)
        || Internal::isTooFarAhead(record, known, now))
        return DirectoryChange::None;
    const DirectoryChange change = Internal::classifyChange(known, record);
    known = DirectoryEntry { record, offset, now, std::nullopt, false };
    return change;
}

DirectoryChange applyRemoval(
    UpstreamDirectory& directory, const Utils::UpstreamId& id, Utils::Offset offset, Utils::Instant now)
{
    const auto found = directory.entries.find(id);
    if (found == directory.entries.end())
        return DirectoryChange::None;
    DirectoryEntry& known = found->second;
    if (offset <= known.offset || known.isExpired || known.missingSince)
        return DirectoryChange::None;
    known.offset = offset;
    known.missingSince = now;
    known.isExpired = known.record.draining || now >= directory.storeOutageGraceUntil;
    return known.isExpired ? DirectoryChange::Removed : DirectoryChange::None;
}

void recordStoreOutage(UpstreamDirectory& directory, Utils::Instant now)
{
    directory.storeOutageGraceUntil = std::max(directory.storeOutageGraceUntil, now + storeOutageGracePeriod);
}

std::vector<Utils::UpstreamId> expireMissing(UpstreamDirectory& directory, Utils::Instant now)
{
    std::vector<Utils::UpstreamId> expired;
    for (auto it = directory.entries.begin(); it != directory.entries.end();) {
        DirectoryEntry& entry = it->second;
        if (!entry.missingSince) {
            ++it;
            continue;
        }
        if (!entry.isExpired && now >= std::max(directory.storeOutageGraceUntil, *entry.missingSince)) {
            entry.isExpired = true;
            expired.push_back(it->first);
        }
        if (entry.isExpired && now - *entry.missingSince > expiredEntryRetention)
            it = directory.entries.erase(it);
        else
            ++it;
    }
    return expired;
}

bool isUsable(const DirectoryEntry& entry) { return !entry.isExpired && !entry.record.draining; }

const DirectoryEntry* findUsable(const UpstreamDirectory& directory, const Utils::UpstreamId& id)
{
    const auto found = directory.entries.find(id);
    return found != directory.entries.end() && isUsable(found->second) ? &found->second : nullptr;
}

} // namespace Routing
