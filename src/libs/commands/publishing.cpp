#include <commands/publishing.h>

#include <agreement/recordcodec.h>
#include <logservice/logclient.h>

#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

using Agreement::ConfigurationRecord;
using Agreement::RecordHeader;
using Agreement::Verdict;
using LogService::PlatformError;

/// What one append did.
enum class AppendEffect {
    Done,
    Perhaps,
    None,
    TooLarge,
};

AppendEffect effectOf(PlatformError error)
{
    if (error == PlatformError::AnswerLost)
        return AppendEffect::Perhaps;
    return error == PlatformError::RecordTooLarge ? AppendEffect::TooLarge : AppendEffect::None;
}

AppendEffect append(const LogView& view, const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<AppendEffect> {
            BOOST_LEAF_CHECK(LogService::appendRecord(view.endpoint, text, callTimeout));
            return AppendEffect::Done;
        },
        [](PlatformError error) { return effectOf(error); }, [] { return AppendEffect::Perhaps; });
}

PublishOutcome outcomeOf(Verdict verdict)
{
    if (verdict == Verdict::Accepted)
        return PublishOutcome::Accepted;
    if (verdict == Verdict::StaleBase)
        return PublishOutcome::Conflict;
    return verdict == Verdict::RangeInUse ? PublishOutcome::RangeInUse : PublishOutcome::Refused;
}

bool isRecordOf(const std::string& text, const RecordHeader& header)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(record, Agreement::decodeRecord(text));
            const ConfigurationRecord* configuration = std::get_if<ConfigurationRecord>(&record);
            return configuration && configuration->header == header;
        },
        [] { return false; });
}

std::optional<Verdict> verdictAt(const LogStep& step, Utils::Offset offset)
{
    for (const Agreement::JudgedRecord& judged : step.judged) {
        if (judged.offset == offset)
            return judged.verdict;
    }
    return std::nullopt;
}

std::optional<PublishResult> findOwn(const LogStep& step, const RecordHeader& header)
{
    for (const Agreement::LogRecord& record : step.records) {
        const std::optional<Verdict> verdict = verdictAt(step, record.offset);
        if (verdict.has_value() && isRecordOf(record.data, header))
            return PublishResult { outcomeOf(*verdict), record.offset };
    }
    return std::nullopt;
}

/// The result when a checkpoint has covered the record: it shows where the record was, and what is in force.
std::optional<PublishResult> findInCheckpoint(const LogView& view, const RecordHeader& header)
{
    const Agreement::AgreedState& agreed = view.reader.state.agreed;
    const std::map<Agreement::Writer, Agreement::WriterProgress>::const_iterator found
        = agreed.writers.find(header.writer);
    if (found == agreed.writers.end() || found->second.sequence < header.sequence)
        return std::nullopt;
    const bool isInForce = agreed.configurationOffset == found->second.offset;
    return PublishResult { isInForce ? PublishOutcome::Accepted : PublishOutcome::Unknown,
        found->second.offset };
}

std::optional<PublishResult> readResult(LogView& view, const RecordHeader& header)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<PublishResult>> {
            BOOST_LEAF_AUTO(step, readOn(view, readWait));
            const std::optional<PublishResult> own = findOwn(step, header);
            return own.has_value() ? own : findInCheckpoint(view, header);
        },
        [] {
            std::this_thread::sleep_for(retryPause);
            return std::optional<PublishResult>();
        });
}

} // namespace

PublishResult publishRecord(LogView& view, const ConfigurationRecord& record, Utils::Instant deadline)
{
    const std::string text = Agreement::encodeRecord(record);
    bool mayBeThere = false;
    AppendEffect effect = AppendEffect::None;
    do {
        if (effect != AppendEffect::Done)
            effect = append(view, text);
        if (effect == AppendEffect::TooLarge)
            return { PublishOutcome::TooLarge, 0 };
        mayBeThere = mayBeThere || effect != AppendEffect::None;
        const std::optional<PublishResult> result = readResult(view, record.header);
        if (result.has_value())
            return *result;
    } while (Utils::monotonicNow() < deadline);
    return { mayBeThere ? PublishOutcome::Unknown : PublishOutcome::NotAppended, 0 };
}

} // namespace Commands::Internal
