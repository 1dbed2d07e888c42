#pragma once

#include <granting/grantaction.h>
#include <granting/grantoutcome.h>
#include <granting/leadership.h>
#include <granting/keyassignment.h>

namespace Edge {

void logLeading(const Granting::Leadership& leadership);

void logNotLeading(const Granting::Leadership& leadership, const char* why);

/// A grant or release that changes who holds keys, or was not accepted. Renewals that are accepted are not
/// logged.
void logGrant(const Granting::GrantAction& action, Granting::GrantOutcome answer);

/// A change of placement that is about to be written.
void logPlan(const Granting::KeyAssignment& former, const Granting::KeyAssignment& next);

} // namespace Edge
