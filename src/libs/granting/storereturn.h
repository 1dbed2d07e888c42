#pragma once

#include <granting/keyassignment.h>
#include <granting/leadership.h>

#include <cstdint>
#include <map>
#include <set>

namespace Granting {

/// Whether a VM knows all assignments that were written in the era \a era until now: it led, or is linked to
/// the leader, and the leader knew them. \param settledEra the last era whose assignments the VM itself
/// knows.
bool knowsAllAssignments(const Leadership& leadership, std::uint64_t settledEra, std::uint64_t era,
    bool isLeading, bool isLinkedToLeader);

/// Decides whether this VM, which is about to acquire the lease, knows all assignments that may be in force,
/// and what its leader record announces: only what the store's records show, as the VM may
/// restart before it has written again what it knows from memory. \param settledEra the last era whose
/// assignments the VM knows. Returns the new value of \a settledEra.
std::uint64_t updateSettledEra(Leadership& leadership, std::uint64_t settledEra);

/// The time before which a leader whose term begins at \a now plans and grants nothing. After the store has
/// returned from a copy, upstreams may hold keys by grants that no record shows. Unless the leader knows of
/// all, it waits until they have expired.
Utils::Instant earliestGrant(
    const Leadership& leadership, std::uint64_t settledEra, Utils::Duration maxKeyLease, Utils::Instant now);

/// Replaces assignments in \a stored by newer ones of \a known, which this VM has in memory: the store may
/// have returned from a copy that lacks them. Returns the services for which it does.
std::set<Utils::ServiceId> replaceByNewer(std::map<Utils::ServiceId, KeyAssignment>& stored,
    const std::map<Utils::ServiceId, KeyAssignment>& known);

} // namespace Granting
