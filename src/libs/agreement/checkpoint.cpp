#include <agreement/agreementconstants.h>
#include <agreement/checkpoint.h>

#include <algorithm>

namespace Agreement {

namespace Internal {

bool tokensAreWithin(const PoolAssignment& assignment, Utils::Offset applied)
{
    if (assignment.token > applied)
        return false;
    return std::all_of(assignment.formers.begin(), assignment.formers.end(),
        [&](const FormerAssignment& former) { return former.token < assignment.token; });
}

bool offsetsAreWithin(const AgreedState& state, Utils::Offset offset)
{
    if (state.applied >= offset || state.checkpoint > state.applied)
        return false;
    if (state.configurationOffset > state.applied)
        return false;
    return std::all_of(state.assignments.begin(), state.assignments.end(),
        [&](const std::pair<const Utils::PoolId, PoolAssignment>& entry) {
            return tokensAreWithin(entry.second, state.applied);
        });
}

} // namespace Internal

bool checkpointDue(const LogState& state, Utils::Duration oldestNeededAge, Utils::Duration retention)
{
    if (state.agreed.applied <= state.agreed.checkpoint)
        return oldestNeededAge >= retention / checkpointsPerRetention;
    if (state.agreed.applied - state.agreed.checkpoint >= maxRecordsSinceCheckpoint)
        return true;
    return oldestNeededAge >= retention / checkpointsPerRetention;
}

CheckpointRecord makeCheckpoint(const LogState& state, const RecordHeader& header)
{
    return { header, state.agreed };
}

std::optional<LogState> restoreCheckpoint(
    const CheckpointRecord& record, Utils::Offset offset, const ConfigurationParser& parseConfiguration)
{
    if (!Internal::offsetsAreWithin(record.state, offset))
        return std::nullopt;
    LogState state;
    state.agreed = record.state;
    if (record.state.configurationOffset == 0)
        return state;
    state.configuration = parseConfiguration(record.state.configurationText);
    if (!state.configuration)
        return std::nullopt;
    return state;
}

} // namespace Agreement
