#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Ownership {

/// The conditions that keep a shard at one owner. The explorer leaves each out in turn and expects two
/// owners.
enum class Guard {
    /// A granter grants only while it is attested.
    AttestedGrant,
    /// An attestation counts from the asking, not from the arrival of its answer.
    ProofFromAsk,
    /// A holder does not attest to its own grant.
    HolderIsNoAttestor,
    /// Only the upstream start named in the record attests.
    NamedUpstreamAttests,
    /// A granter grants nothing to an upstream start that the record does not name.
    GrantNamedStart,
    /// Only the VM start named in the record grants and attests.
    NamedVmStart,
    /// A VM that knows a higher level attests to no lower one.
    HigherLevelEndsAttesting,
    /// A granter settles the earlier levels before it grants.
    SettleEarlier,
    /// The lease that a fenced holder names is waited out.
    WaitNamedLease,
    /// A granter waits out all that it granted to another holder itself.
    WaitOwnGrants,
    /// A grant without an answer counts like one that was accepted.
    CountUnanswered,
    /// Every attestor has to end attesting, not just one.
    EveryAttestor,
    /// The proof window is waited out as well as the lease.
    WaitProofWindow,
    /// Dispatcher and successor of an earlier record both count as granters.
    EveryEarlierGranter,
    /// What a stopped granter has granted is waited out.
    WaitStoppedGrants,
    /// Requests in flight to an upstream that checks no grants are waited out.
    WaitInFlight,
    /// Waits are stretched by the largest difference of clock rates.
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
