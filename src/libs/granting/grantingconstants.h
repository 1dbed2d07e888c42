#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>

namespace Granting {

/// How long a leader may act after it sent its last accepted renewal. Short enough for a new leader to renew
/// the holds of a lost one before they end.
inline constexpr Utils::Duration leaderLeaseDuration = std::chrono::milliseconds(2500);
/// Between two renewals of the lease; three fit into one lease.
inline constexpr Utils::Duration leaderLeaseRenewalInterval = std::chrono::milliseconds(800);
/// Clocks that measure holds and leases may run this much slow; the users' protocol page.
inline constexpr double maxClockDrift = 0.02;
/// Added to every wait for another's time to end, for timers that fire late.
inline constexpr Utils::Duration expiryMargin = std::chrono::milliseconds(150);
/// Largest spread of claims to a lease, so that one VM is usually first, and one with a large part of a core.
inline constexpr Utils::Duration maxLeaseAcquisitionJitter = std::chrono::milliseconds(600);
/// A renewal without an answer for this long means that the store can't be relied upon.
inline constexpr Utils::Duration storeResponseTimeout = std::chrono::milliseconds(450);

/// Hold of keys while the store answers: outlives a lapsed lease and the claim after it.
inline constexpr Utils::Duration keyLeaseDuration = std::chrono::milliseconds(4800);
/// Between two renewals of a hold; three fit into a calm one.
inline constexpr Utils::Duration keyLeaseRenewalInterval = std::chrono::milliseconds(1200);
/// A grant that was not answered by then is cut off on its way: it arrives by then or never.
inline constexpr Utils::Duration grantTimeout = std::chrono::milliseconds(500);
/// How long an upstream that did not answer gets no keys; a dead one is taken off the store's list before.
inline constexpr Utils::Duration unresponsiveUpstreamRetention = std::chrono::seconds(5);
/// Between two tries of a grant or release that was not answered.
inline constexpr Utils::Duration grantRetryInterval = std::chrono::milliseconds(300);
/// Shortest hold worth asking for.
inline constexpr Utils::Duration minKeyLease = std::chrono::milliseconds(500);
/// A holder that has not answered for this long loses its keys to others, once its hold has ended.
inline constexpr Utils::Duration holderResponseTimeout = std::chrono::milliseconds(1200);
/// The same while more than one holder in correlatedFailureDivisor is silent. Their holds last longer, so
/// that their keys come no later to others.
inline constexpr Utils::Duration correlatedHolderResponseTimeout = std::chrono::milliseconds(3000);
/// Upstreams of one zone of four may be lost together.
inline constexpr std::size_t correlatedFailureDivisor = 4;

/// Tokens of one term; a later term's are all higher.
inline constexpr std::uint64_t tokensPerTerm = std::uint64_t(1) << 20;

/// Most segments of a service; each is renewed by a call of its own.
inline constexpr std::size_t maxSegments = 512;

} // namespace Granting
