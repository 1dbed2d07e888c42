#pragma once

#include <agreement/assignmentrecord.h>
#include <agreement/checkpointrecord.h>
#include <agreement/configurationrecord.h>
#include <agreement/settledrecord.h>

#include <variant>

namespace Agreement {

/// Any record of the system's stream.
using RecordVariant = std::variant<ConfigurationRecord, AssignmentRecord, SettledRecord, CheckpointRecord>;

} // namespace Agreement
