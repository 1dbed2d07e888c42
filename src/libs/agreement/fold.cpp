#include <agreement/agreementconstants.h>
#include <agreement/assignmentrules.h>
#include <agreement/checkpoint.h>
#include <agreement/fold.h>
#include <agreement/rangerules.h>
#include <agreement/recordcodec.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace Agreement {

namespace Internal {

const RecordHeader& headerOf(const RecordVariant& record)
{
    return std::visit(
        [](const auto& alternative) -> const RecordHeader& { return alternative.header; }, record);
}

void forgetOldestWriter(std::map<Writer, WriterProgress>& writers)
{
    const std::map<Writer, WriterProgress>::iterator oldest = std::min_element(writers.begin(), writers.end(),
        [](const std::pair<const Writer, WriterProgress>& one,
            const std::pair<const Writer, WriterProgress>& other) {
            return one.second.offset < other.second.offset;
        });
    writers.erase(oldest);
}

/// Notes the header; false for a repeat.
bool noteHeader(AgreedState& agreed, Utils::Offset offset, const RecordHeader& header)
{
    WriterProgress& progress = agreed.writers[header.writer];
    if (header.sequence <= progress.sequence)
        return false;
    progress = { header.sequence, offset };
    if (agreed.writers.size() > maxWriters)
        forgetOldestWriter(agreed.writers);
    return true;
}

Verdict judge(LogState& state, Utils::Offset offset, const ConfigurationRecord& record,
    const ConfigurationParser& parseConfiguration)
{
    if (record.base != state.agreed.configurationOffset)
        return Verdict::StaleBase;
    std::optional<Declarations::Configuration> configuration = parseConfiguration(record.text);
    if (!configuration)
        return Verdict::InvalidConfiguration;
    if (redefinesRangeInUse(state, *configuration))
        return Verdict::RangeInUse;
    state.agreed.retiredRanges = retiredRangesUnder(state, *configuration);
    state.configuration = std::move(configuration);
    state.agreed.configurationOffset = offset;
    state.agreed.configurationText = record.text;
    return Verdict::Accepted;
}

FormerAssignment formerOf(const PoolAssignment& assignment)
{
    return { assignment.token, assignment.dispatcher, assignment.successor, assignment.upstreams,
        assignment.shards };
}

/// Whether all that \a former allowed, \a later allows to the same starts; its token apart.
bool isCoveredBy(const FormerAssignment& former, const FormerAssignment& later)
{
    FormerAssignment sameToken = former;
    sameToken.token = later.token;
    return sameToken == later;
}

/// The formers of an assignment that replaces \a present, each kind of them once.
std::vector<FormerAssignment> formersAfter(const PoolAssignment& present)
{
    const FormerAssignment latest = formerOf(present);
    std::vector<FormerAssignment> formers = present.formers;
    std::erase_if(formers, [&latest](const FormerAssignment& former) { return isCoveredBy(former, latest); });
    formers.push_back(latest);
    return formers;
}

Verdict judge(LogState& state, Utils::Offset offset, const AssignmentRecord& record,
    const ConfigurationParser& /*parseConfiguration*/)
{
    const std::map<Utils::PoolId, PoolAssignment>::const_iterator present
        = state.agreed.assignments.find(record.pool);
    const bool isAssigned = present != state.agreed.assignments.end();
    const bool isDeclared = state.configuration && state.configuration->pools.contains(record.pool);
    if (!isDeclared && !isAssigned)
        return Verdict::UnknownPool;
    if (record.basedOn != (isAssigned ? present->second.token : 0))
        return Verdict::StaleToken;
    if (!assignmentIsValid(state, record))
        return Verdict::InvalidAssignment;
    std::vector<FormerAssignment> formers;
    const Utils::Offset first = isAssigned ? present->second.first : offset;
    if (isAssigned)
        formers = formersAfter(present->second);
    if (formers.size() > maxFormers)
        return Verdict::TooManyFormers;
    state.agreed.assignments[record.pool] = { record.pool, offset, record.dispatcher, record.successor,
        record.upstreams, record.shards, std::move(formers), first };
    return Verdict::Accepted;
}

Verdict judge(LogState& state, Utils::Offset /*offset*/, const SettledRecord& record,
    const ConfigurationParser& /*parseConfiguration*/)
{
    const std::map<Utils::PoolId, PoolAssignment>::iterator present
        = state.agreed.assignments.find(record.pool);
    if (present == state.agreed.assignments.end())
        return Verdict::UnknownPool;
    PoolAssignment& assignment = present->second;
    if (record.token != assignment.token)
        return Verdict::StaleToken;
    const bool isNamed = record.by == assignment.dispatcher || record.by == assignment.successor;
    if (!isNamed || record.by == VmStart {})
        return Verdict::NotDispatcher;
    assignment.formers.clear();
    const bool isDeclared = state.configuration && state.configuration->pools.contains(record.pool);
    if (!isDeclared && assignment.upstreams.empty())
        state.agreed.assignments.erase(present);
    if (state.configuration)
        state.agreed.retiredRanges = retiredRangesUnder(state, *state.configuration);
    return Verdict::Accepted;
}

Verdict judge(LogState& state, Utils::Offset offset, const CheckpointRecord& record,
    const ConfigurationParser& parseConfiguration)
{
    if (!restoreCheckpoint(record, offset, parseConfiguration))
        return Verdict::InvalidCheckpoint;
    state.agreed.checkpoint = offset;
    return Verdict::Accepted;
}

/// Only the record after the last one applied may take effect.
Verdict judgeOffset(const LogState& state, Utils::Offset offset)
{
    if (offset <= state.agreed.applied)
        return Verdict::NotNewer;
    return offset == state.agreed.applied + 1 ? Verdict::Accepted : Verdict::Gap;
}

} // namespace Internal

Verdict applyRecord(LogState& state, Utils::Offset offset, const RecordVariant& record,
    const ConfigurationParser& parseConfiguration)
{
    const Verdict order = Internal::judgeOffset(state, offset);
    if (order != Verdict::Accepted)
        return order;
    state.agreed.applied = offset;
    if (!Internal::noteHeader(state.agreed, offset, Internal::headerOf(record)))
        return Verdict::Repeat;
    return std::visit(
        [&](const auto& alternative) {
            return Internal::judge(state, offset, alternative, parseConfiguration);
        },
        record);
}

Verdict applyText(LogState& state, Utils::Offset offset, std::string_view text,
    const ConfigurationParser& parseConfiguration)
{
    const Verdict order = Internal::judgeOffset(state, offset);
    if (order != Verdict::Accepted)
        return order;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Verdict> {
            BOOST_LEAF_ASSIGN(const RecordVariant record, decodeRecord(text));
            return applyRecord(state, offset, record, parseConfiguration);
        },
        [&] {
            state.agreed.applied = offset;
            return Verdict::Undecodable;
        });
}

} // namespace Agreement
