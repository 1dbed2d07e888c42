#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>

namespace Granting {

/// How long a leader may act after it sent its last accepted renewal. Short enough for a new leader to renew
/// the key leases granted by a failed one before they expire.
inline constexpr Utils::Duration leaderLeaseDuration = std::chrono::milliseconds(2500);
/// Three renewals fit into one lease.
inline constexpr Utils::Duration leaderLeaseRenewalInterval = std::chrono::milliseconds(800);
/// Fraction by which clocks that measure leases may run slow, as the protocol specifies.
inline constexpr double maxClockDrift = 0.02;
/// Added to every wait for the expiry of another process's lease, because timers may fire late.
inline constexpr Utils::Duration expiryMargin = std::chrono::milliseconds(150);
/// Spreads the attempts to acquire the leader lease, so that one VM, one with a large share of a core, is
/// usually first.
inline constexpr Utils::Duration maxLeaseAcquisitionJitter = std::chrono::milliseconds(600);
/// How long before the end of a lease the VMs that may acquire it look at it more often: longer than their
/// usual interval.
inline constexpr Utils::Duration acquisitionNotice = std::chrono::milliseconds(300);
/// Time between two attempts of a VM to acquire the lease, for each VM of the fleet, and its limit. The store
/// takes some hundred appends a second to one topic.
inline constexpr Utils::Duration acquisitionIntervalPerVm = std::chrono::milliseconds(25);
inline constexpr Utils::Duration maxAcquisitionInterval = std::chrono::milliseconds(800);
/// How long VMs that are no candidates leave the lease to those that are, after the last record of a leader.
inline constexpr Utils::Duration reserveAcquisitionDelay = std::chrono::seconds(8);
/// How long VMs that are not known to read all topics of the store leave a free lease to those that are,
/// which need no longer than maxLeaseAcquisitionJitter.
inline constexpr Utils::Duration uninformedAcquisitionDelay = std::chrono::milliseconds(900);
/// A renewal without a response for this long means that the store is unresponsive.
inline constexpr Utils::Duration storeResponseTimeout = std::chrono::milliseconds(450);

/// All VMs start within a third of a second at the first start of all. One that gets its first response of
/// the store later than this may have been preceded by a leader.
inline constexpr Utils::Duration maxFirstStartDelay = std::chrono::seconds(2);

/// Duration of a key lease while the store responds. Longer than an expired leader lease and the acquisition
/// that follows it.
inline constexpr Utils::Duration keyLeaseDuration = std::chrono::milliseconds(4800);
/// Three renewals fit into a key lease of the usual duration.
inline constexpr Utils::Duration keyLeaseRenewalInterval = std::chrono::milliseconds(1200);
/// A grant without a response by then is aborted in transit: it arrives before this timeout or never.
inline constexpr Utils::Duration grantTimeout = std::chrono::milliseconds(500);
/// A call that was given up may arrive this much later while a link on its way is saturated: the reset of the
/// connection waits behind it.
inline constexpr Utils::Duration maxTransitDelay = std::chrono::milliseconds(2000);
/// Time for which calls are assumed to be delayed after many holders have left some without a response; the
/// longest key lease.
inline constexpr Utils::Duration delayedCallsPeriod = std::chrono::seconds(10);
/// How long an unresponsive upstream gets no keys. A terminated one disappears from the store's list earlier.
inline constexpr Utils::Duration unresponsiveUpstreamRetention = std::chrono::seconds(5);
/// Interval between retries of a grant or release that got no response.
inline constexpr Utils::Duration grantRetryInterval = std::chrono::milliseconds(300);
/// Shortest key lease that is requested.
inline constexpr Utils::Duration minKeyLease = std::chrono::milliseconds(500);
/// The keys of a holder that has not responded for this long go to others once its key lease has expired.
inline constexpr Utils::Duration holderResponseTimeout = std::chrono::milliseconds(1200);
/// Replaces holderResponseTimeout while more than one holder in correlatedFailureDivisor is unresponsive. Key
/// leases last longer than this, so that the keys reach other holders no later.
inline constexpr Utils::Duration correlatedHolderResponseTimeout = std::chrono::milliseconds(3000);
/// All upstreams of one availability zone out of four may fail together.
inline constexpr std::size_t correlatedFailureDivisor = 4;

/// Number of tokens in one term. All tokens of a later term are higher.
inline constexpr std::uint64_t tokensPerTerm = std::uint64_t(1) << 20;

/// Maximum number of segments of a service. Each segment is renewed by a separate call.
inline constexpr std::size_t maxSegments = 512;

} // namespace Granting
