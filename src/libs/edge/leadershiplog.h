#pragma once

#include <granting/grantaction.h>
#include <granting/grantoutcome.h>
#include <granting/leadership.h>
#include <granting/keyassignment.h>
#include <granting/possibleholder.h>

#include <vector>

namespace Edge {

void logLeading(const Granting::Leadership& leadership);

void logNotLeading(const Granting::Leadership& leadership, const char* reason);

/// Logs a grant or release that changes the holder of keys or was not accepted. Accepted renewals are not
/// logged.
void logGrant(const Granting::GrantAction& action, Granting::GrantOutcome outcome);

/// Logs holds that end before their key lease has expired, and why.
void logEndedHolds(
    const Utils::ServiceId& service, const std::vector<Granting::PossibleHolder>& holds, const char* reason);

/// Logs a change of placement that is about to be written.
void logPlan(const Granting::KeyAssignment& previous, const Granting::KeyAssignment& next);

} // namespace Edge
