#pragma once

#include <agreement/verdict.h>
#include <utils/ids.h>

#include <boost/json/object.hpp>

#include <ostream>
#include <string>
#include <string_view>

namespace Commands::Internal {

/// What one record of the log says, in a few words.
struct RecordSummary {
    Utils::Offset offset = 0;
    Agreement::Verdict verdict = Agreement::Verdict::Accepted;
    std::string_view kind;
    /// Kind and name of the writer.
    std::string writer;
    std::string content;
};

/// The summary of record \a text.
RecordSummary summarizeRecord(Utils::Offset offset, Agreement::Verdict verdict, std::string_view text);

void writeSummary(std::ostream& stream, const RecordSummary& summary);

boost::json::object summaryToJson(const RecordSummary& summary);

} // namespace Commands::Internal
