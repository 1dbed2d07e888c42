#include <agreement/checkpoint.h>
#include <agreement/fold.h>
#include <agreement/follow.h>
#include <agreement/recordcodec.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace Agreement {

namespace Internal {

std::optional<CheckpointRecord> decodeCheckpoint(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<CheckpointRecord>> {
            BOOST_LEAF_ASSIGN(RecordVariant record, decodeRecord(text));
            CheckpointRecord* const checkpoint = std::get_if<CheckpointRecord>(&record);
            if (!checkpoint)
                return std::nullopt;
            return std::move(*checkpoint);
        },
        [] { return std::optional<CheckpointRecord>(); });
}

/// Starts from \a record when it is a checkpoint after which nothing is missing.
bool startFrom(LogReader& reader, Utils::Offset first, const LogRecord& record,
    const ConfigurationParser& parseConfiguration)
{
    const std::optional<CheckpointRecord> checkpoint = decodeCheckpoint(record.data);
    if (!checkpoint)
        return false;
    const Utils::Offset through = checkpoint->state.applied;
    if (through + 1 < first || through < reader.state.agreed.applied)
        return false;
    std::optional<LogState> state = restoreCheckpoint(*checkpoint, record.offset, parseConfiguration);
    if (!state)
        return false;
    reader.state = std::move(*state);
    reader.status = ReaderStatus::Following;
    reader.next = through + 1;
    return true;
}

void lookForCheckpoint(LogReader& reader, Utils::Offset first, const std::vector<LogRecord>& records,
    const ConfigurationParser& parseConfiguration)
{
    for (const LogRecord& record : records) {
        if (startFrom(reader, first, record, parseConfiguration))
            return;
        reader.next = std::max(reader.next, record.offset + 1);
    }
}

/// Keeps track of the oldest record that a starting VM needs.
void noteNeeded(LogReader& reader, const LogRecord& record)
{
    if (record.offset == 1 || record.offset == reader.state.agreed.checkpoint)
        reader.oldestNeededMs = record.timeMs;
}

} // namespace Internal

void noteFirst(LogReader& reader, Utils::Offset first)
{
    if (first <= reader.next)
        return;
    reader.status = ReaderStatus::NeedsCheckpoint;
    reader.next = first;
}

std::vector<JudgedRecord> foldRecords(LogReader& reader, Utils::Offset first,
    const std::vector<LogRecord>& records, const ConfigurationParser& parseConfiguration)
{
    noteFirst(reader, first);
    if (reader.status == ReaderStatus::NeedsCheckpoint)
        Internal::lookForCheckpoint(reader, first, records, parseConfiguration);
    std::vector<JudgedRecord> judged;
    if (reader.status == ReaderStatus::NeedsCheckpoint)
        return judged;
    for (const LogRecord& record : records) {
        const Verdict verdict = applyText(reader.state, record.offset, record.data, parseConfiguration);
        if (verdict == Verdict::Gap)
            break;
        Internal::noteNeeded(reader, record);
        judged.push_back({ record.offset, verdict });
    }
    reader.next = reader.state.agreed.applied + 1;
    return judged;
}

} // namespace Agreement
