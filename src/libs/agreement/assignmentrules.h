#pragma once

#include <agreement/assignmentrecord.h>
#include <agreement/logstate.h>

namespace Agreement {

/// Whether \a record fits the configuration in force and does not contradict itself.
bool assignmentIsValid(const LogState& state, const AssignmentRecord& record);

/// Whether the present assignment of \a pool still fits the configuration in force, with all the shards that
/// it can have by now; if not, a new one is due.
bool assignmentFits(const LogState& state, const Utils::PoolId& pool);

} // namespace Agreement
