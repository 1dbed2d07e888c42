#pragma once

#include <agreement/assignmentrecord.h>
#include <declarations/configuration.h>

#include <set>

namespace Agreement {

/// Every shard that \a configuration gives to \a pool.
std::set<Utils::ShardId> shardsOfPool(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool);

/// Whether \a record fits \a configuration and does not contradict itself.
bool assignmentIsValid(const Declarations::Configuration& configuration, const AssignmentRecord& record);

} // namespace Agreement
