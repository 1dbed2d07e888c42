#pragma once

#include <granting/keyassignment.h>
#include <granting/leadership.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Granting {

/// Whether a VM knows all assignments that were written in the era \a era until now: it led, or is linked to
/// the leader, and the leader knew them. \param settledEra the last era whose assignments the VM itself
/// knows, by a write of its own; nothing if there is none.
bool knowsAllAssignments(const Leadership& leadership, std::optional<std::uint64_t> settledEra,
    std::uint64_t era, bool isLeading, bool isLinkedToLeader);

/// Records the era of the store's first response to this process, which arrived \a sinceStart after it
/// started. If that is late, other VMs may have granted keys before, and the store may have returned from a
/// copy that does not show it.
void recordFirstEra(Leadership& leadership, std::uint64_t era, Utils::Duration sinceStart);

/// Sets what the leader record of this VM, which is about to acquire the lease, announces: only what the
/// store's records show, as the VM may restart before it has written again what it knows from memory.
void updateSettledEra(Leadership& leadership);

/// The time before which a leader whose term begins at \a now plans and grants nothing. After the store has
/// returned from a copy, upstreams may hold keys by grants that no record shows. Unless the leader or the
/// store knows of all, it waits until they have expired. \param settledEra as for knowsAllAssignments().
Utils::Instant earliestGrant(const Leadership& leadership, std::optional<std::uint64_t> settledEra,
    Utils::Duration maxKeyLease, Utils::Instant now);

/// Notes that the leader record announces that the store shows all assignments, while \a stored has one of a
/// former era: a write from before the return took effect late and replaced a newer one. Then neither this VM
/// nor the store knows of all. Returns whether it is so. \param settledEra as for knowsAllAssignments().
/// \param eraStart the first position of the store's era.
bool noticeDelayedWrite(Leadership& leadership, std::optional<std::uint64_t>& settledEra,
    const std::map<Utils::ServiceId, KeyAssignment>& stored, Utils::Offset eraStart);

/// Replaces assignments in \a stored by newer ones of \a known, which this VM has in memory: the store may
/// have returned from a copy that lacks them. Returns the services for which it does.
std::set<Utils::ServiceId> replaceByNewer(std::map<Utils::ServiceId, KeyAssignment>& stored,
    const std::map<Utils::ServiceId, KeyAssignment>& known);

} // namespace Granting
