#include <commands/recordreport.h>

#include <agreement/recordcodec.h>

#include <boost/leaf/handle_errors.hpp>

#include <variant>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

using namespace Agreement;

std::string writerText(const RecordHeader& header)
{
    return std::string(Utils::enumName(writerKindNames, header.writer.kind)) + ' ' + header.writer.name;
}

void describe(const ConfigurationRecord& record, RecordSummary& summary)
{
    summary.kind = "configuration";
    summary.content
        = "base " + std::to_string(record.base) + ", " + std::to_string(record.text.size()) + " bytes";
}

void describe(const AssignmentRecord& record, RecordSummary& summary)
{
    summary.kind = "assignment";
    summary.content = "pool " + record.pool.value + ", dispatcher " + record.dispatcher.vm.value
        + ", successor " + record.successor.vm.value + ", " + std::to_string(record.shards.size())
        + " shards, based on " + std::to_string(record.basedOn);
}

void describe(const SettledRecord& record, RecordSummary& summary)
{
    summary.kind = "settled";
    summary.content = "pool " + record.pool.value + ", token " + std::to_string(record.token) + ", by "
        + record.by.vm.value;
}

void describe(const CheckpointRecord& record, RecordSummary& summary)
{
    summary.kind = "checkpoint";
    summary.content = "through offset " + std::to_string(record.state.applied);
}

} // namespace

RecordSummary summarizeRecord(Utils::Offset offset, Verdict verdict, std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<RecordSummary> {
            BOOST_LEAF_AUTO(record, decodeRecord(text));
            RecordSummary summary { offset, verdict, {}, {}, {} };
            std::visit(
                [&summary](const auto& alternative) {
                    summary.writer = writerText(alternative.header);
                    describe(alternative, summary);
                },
                record);
            return summary;
        },
        [&] {
            return RecordSummary { offset, verdict, "unreadable", {}, {} };
        });
}

void writeSummary(std::ostream& stream, const RecordSummary& summary)
{
    stream << summary.offset << ' ' << Utils::enumName(verdictNames, summary.verdict) << ' ' << summary.kind;
    if (!summary.writer.empty())
        stream << " by " << summary.writer << ": " << summary.content;
    stream << std::endl;
}

boost::json::object summaryToJson(const RecordSummary& summary)
{
    boost::json::object object;
    object["offset"] = summary.offset;
    object["verdict"] = Utils::enumName(verdictNames, summary.verdict);
    object["kind"] = summary.kind;
    object["writer"] = summary.writer;
    object["content"] = summary.content;
    return object;
}

} // namespace Commands::Internal
