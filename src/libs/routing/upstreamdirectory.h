#pragma once

#include <routing/directorychange.h>
#include <routing/directoryentry.h>

#include <unordered_map>
#include <vector>

namespace Routing {

/// All upstreams that have reported, including recently expired ones.
struct UpstreamDirectory {
    std::unordered_map<Utils::UpstreamId, DirectoryEntry> entries;
    /// Until this time a missing entry may be due to a store outage rather than a terminated upstream.
    Utils::Instant storeOutageGraceUntil {};
};

/// Entries that expired in the store during an outage reappear within about this time after its end.
inline constexpr Utils::Duration storeOutageGracePeriod = std::chrono::milliseconds(2000);
/// How long an expired upstream is kept, so that late reports do not add it again.
inline constexpr Utils::Duration expiredEntryRetention = std::chrono::seconds(60);

/// Applies a report read at \a offset. Reports from before a restart or with an older sequence number have no
/// effect.
DirectoryChange applyReport(
    UpstreamDirectory& directory, const UpstreamRecord& record, Utils::Offset offset, Utils::Instant now);

/// Applies the removal of an entry read at \a offset.
DirectoryChange applyRemoval(
    UpstreamDirectory& directory, const Utils::UpstreamId& id, Utils::Offset offset, Utils::Instant now);

/// Records that the store was unreliable at \a now and starts the grace period for missing entries.
void recordStoreOutage(UpstreamDirectory& directory, Utils::Instant now);

/// Expires missing entries whose grace period is over and removes those that were missing for longer than
/// \c expiredEntryRetention. Returns the ids of the newly expired entries.
std::vector<Utils::UpstreamId> expireMissing(UpstreamDirectory& directory, Utils::Instant now);

/// Whether new requests may be sent to \a entry.
bool isUsable(const DirectoryEntry& entry);

/// Finds the upstream \a id; null if it is unknown or not usable.
const DirectoryEntry* findUsable(const UpstreamDirectory& directory, const Utils::UpstreamId& id);

} // namespace Routing
