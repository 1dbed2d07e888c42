#pragma once

#include <dispatch/dispatchoptions.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <chrono>
#include <string>

/// The pool that is measured.
namespace Measure {

inline constexpr unsigned upstreamCount = 4;
inline constexpr unsigned slotCount = 2;
inline constexpr unsigned entryCount = 12;
/// One way between any two VMs.
inline constexpr Utils::Duration hop = std::chrono::microseconds(1500);

/// Ranks "urgent", "normal" and "bulk" and the upstreams.
Dispatch::DispatchOptions poolOptions();

/// Name of the upstream with the number; it serves the shard with the same number.
Utils::UpstreamId upstreamName(unsigned number);
Utils::ShardId shardName(unsigned number);

/// The number that an upstream's or shard's name ends with.
unsigned numberOf(const std::string& name);

} // namespace Measure
