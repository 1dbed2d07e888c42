#pragma once

#include <standins/journal/leaseinterval.h>
#include <standins/journal/upstreamrow.h>

#include <utils/ids.h>

#include <map>
#include <vector>

namespace Journal {

/// For each shard the times at which upstreams held it, by their start.
using LeaseHistory = std::map<Utils::ShardId, std::vector<LeaseInterval>>;

/// The history that the upstreams' rows tell. A renewal lengthens an interval; a grant without the shard, a
/// stop and a new start of the upstream end it.
LeaseHistory collectLeases(const std::vector<UpstreamRow>& rows);

} // namespace Journal
