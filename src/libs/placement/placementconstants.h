#pragma once

#include <cstdint>

namespace Placement {

/// Excess over the lowest worst load, 0..1, that is left alone when an even load and few moves weigh the
/// same.
inline constexpr double balanceSlack = 0.1;
/// Part of the mean load of a shard, 0..1, that an idle shard counts for, so that keys spread as well.
inline constexpr double idleShardShare = 0.1;
/// Excess over an even share of dispatch duties, 0..1, that is left alone.
inline constexpr double dutySlack = 0.25;
/// Seed of the hashes that rank VMs.
inline constexpr std::uint64_t rankSeed = 0x63726f637573;

} // namespace Placement
