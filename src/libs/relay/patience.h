#pragma once

#include <utils/time.h>

#include <cstdint>

/// How long a subscriber stays with a source that is late.
///
/// Load pattern: the leader of a large fleet misses one read of the store, or its link is saturated for a
/// moment. If all subscribers left it at once, they would all read the store and subscribe again with a
/// complete first update each, which saturates the link of the leader for longer than what they left it for.
namespace Relay {

/// Time that a VM needs, after its source has said that it is not fresh, to find another one or to read the
/// store itself, and after the last read that counts as fresh.
inline constexpr Utils::Duration sourceChangeTime = std::chrono::milliseconds(2500);

/// The wait before a subscriber leaves a source that is not fresh. Zero if changes must be in force within
/// sourceChangeTime. \a seed, different for each VM, spreads those that leave.
Utils::Duration staleSourcePatience(Utils::Duration changeTimeout, std::uint64_t seed);

/// The same for a source that is a relay. It looks for another source itself, for all its subscribers.
Utils::Duration staleRelayPatience(Utils::Duration changeTimeout, std::uint64_t seed);

/// The time without a frame after which a source is considered unreachable. \a minimum is enough where the
/// links are not saturated.
Utils::Duration silentSourceTimeout(Utils::Duration changeTimeout, Utils::Duration minimum);

/// Part of the time until latestStoreRead() that a VM keeps for the search of another source.
inline constexpr Utils::Duration sourceSearchReserve = std::chrono::milliseconds(700);

/// When a VM has to read the store itself at the latest, if it last knew at \a confirmedAt that it had the
/// newest records. All waits for a source end before: bounded one by one, they would add up to more than \a
/// changeTimeout. \a seed, different for each VM, spreads the reads.
Utils::Instant latestStoreRead(Utils::Instant confirmedAt, Utils::Duration changeTimeout, std::uint64_t seed);

} // namespace Relay
