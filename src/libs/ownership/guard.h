#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Ownership {

/// The conditions that ensure that a shard has at most one owner. The explorer disables each in turn and
/// expects to find a state with two owners.
enum class Guard {
    /// A granter grants only while it is attested.
    AttestedGrant,
    /// An attestation is valid from the time the request was sent, not from the arrival of the response.
    ProofFromAsk,
    /// A holder does not attest to its own grant.
    HolderIsNoAttestor,
    /// Only the upstream incarnation named in the record attests.
    NamedUpstreamAttests,
    /// A granter grants nothing to an upstream incarnation that the record does not name.
    GrantNamedStart,
    /// Only the VM incarnation named in the record grants and attests.
    NamedVmStart,
    /// A VM that knows a higher level does not attest to a lower one.
    HigherLevelEndsAttesting,
    /// A granter waits until the grants of earlier levels are retired before it grants.
    SettleEarlier,
    /// A granter waits until the lease that a fenced holder reports has expired.
    WaitNamedLease,
    /// A granter waits until its own grants to another holder have expired.
    WaitOwnGrants,
    /// A grant without a response counts as accepted.
    CountUnanswered,
    /// Every attestor must have stopped attesting, not just one.
    EveryAttestor,
    /// A granter waits for the proof window in addition to the lease.
    WaitProofWindow,
    /// The dispatcher and the successor of an earlier record both count as granters.
    EveryEarlierGranter,
    /// A granter waits until the grants of a stopped granter have expired.
    WaitStoppedGrants,
    /// A granter waits until requests in flight to an upstream that does not check grants have ended.
    WaitInFlight,
    /// Waiting times are extended by the maximum difference of clock rates.
    StretchByDrift,
};

inline constexpr std::array<Utils::EnumName<Guard>, 17> guardNames { {
    { Guard::AttestedGrant, "attested_grant" },
    { Guard::ProofFromAsk, "proof_from_ask" },
    { Guard::HolderIsNoAttestor, "holder_is_no_attestor" },
    { Guard::NamedUpstreamAttests, "named_upstream_attests" },
    { Guard::GrantNamedStart, "grant_named_start" },
    { Guard::NamedVmStart, "named_vm_start" },
    { Guard::HigherLevelEndsAttesting, "higher_level_ends_attesting" },
    { Guard::SettleEarlier, "settle_earlier" },
    { Guard::WaitNamedLease, "wait_named_lease" },
    { Guard::WaitOwnGrants, "wait_own_grants" },
    { Guard::CountUnanswered, "count_unanswered" },
    { Guard::EveryAttestor, "every_attestor" },
    { Guard::WaitProofWindow, "wait_proof_window" },
    { Guard::EveryEarlierGranter, "every_earlier_granter" },
    { Guard::WaitStoppedGrants, "wait_stopped_grants" },
    { Guard::WaitInFlight, "wait_in_flight" },
    { Guard::StretchByDrift, "stretch_by_drift" },
} };

} // namespace Ownership
