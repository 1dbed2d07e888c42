#pragma once

#include <agreement/checkpointrecord.h>
#include <agreement/configurationparser.h>
#include <agreement/logstate.h>
#include <utils/time.h>

#include <optional>

namespace Agreement {

/// Whether the next checkpoint should be written.
/// \param oldestNeededAge age of the oldest record that a starting VM needs: of the newest checkpoint, or of
/// the first record when there is none. \param retention how long the log keeps a record.
bool checkpointDue(const LogState& state, Utils::Duration oldestNeededAge, Utils::Duration retention);

/// The checkpoint of \a state.
CheckpointRecord makeCheckpoint(const LogState& state, const RecordHeader& header);

/// The state that \a record, found at \a offset, stands for; nothing when it can't be a state of this log.
std::optional<LogState> restoreCheckpoint(
    const CheckpointRecord& record, Utils::Offset offset, const ConfigurationParser& parseConfiguration);

} // namespace Agreement
