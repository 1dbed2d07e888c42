#include <logservice/answerfields.h>
#include <logservice/httpcall.h>
#include <logservice/httpstatuscodes.h>
#include <logservice/logclient.h>
#include <logservice/platformconstants.h>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cctype>
#include <limits>

namespace LogService {

namespace leaf = boost::leaf;

namespace Internal {

namespace json = boost::json;

constexpr std::uint64_t maxTimeMs = std::numeric_limits<std::int64_t>::max();

bool isStreamName(const std::string& name)
{
    if (name.empty() || name.size() > maxNameBytes)
        return false;
    return std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) || character == '.' || character == '_' || character == '-';
    });
}

std::string targetOf(const LogEndpoint& endpoint) { return "/streams/" + endpoint.stream + "/records"; }

leaf::result<AppendAnswer> appendAnswerFrom(const HttpAnswer& answer)
{
    BOOST_LEAF_ASSIGN(const json::object object, parseAnswer(answer));
    BOOST_LEAF_ASSIGN(const std::uint64_t offset, numberIn(object, "offset"));
    if (offset == 0)
        return leaf::new_error(PlatformError::Malformed);
    return AppendAnswer { offset };
}

leaf::result<KeptRange> keptRangeFrom(const json::object& object)
{
    KeptRange kept;
    BOOST_LEAF_ASSIGN(kept.first, numberIn(object, "first"));
    BOOST_LEAF_ASSIGN(kept.end, numberIn(object, "end"));
    if (kept.first == 0 || kept.end < kept.first)
        return leaf::new_error(PlatformError::Malformed);
    return kept;
}

leaf::result<void> readRecord(Agreement::LogRecord& record, const json::value& value)
{
    const json::object* const object = value.if_object();
    if (!object)
        return leaf::new_error(PlatformError::Malformed);
    BOOST_LEAF_ASSIGN(record.offset, numberIn(*object, "offset"));
    BOOST_LEAF_ASSIGN(const std::uint64_t time, numberIn(*object, "time_ms"));
    const json::value* const data = object->if_contains("data");
    const json::string* const text = data ? data->if_string() : nullptr;
    if (!text || text->size() > maxRecordBytes || time > maxTimeMs)
        return leaf::new_error(PlatformError::Malformed);
    record.timeMs = static_cast<std::int64_t>(time);
    record.data.assign(text->data(), text->size());
    return {};
}

leaf::result<ReadAnswer> readAnswerFrom(const HttpAnswer& answer, Utils::Offset from, std::size_t limit)
{
    BOOST_LEAF_ASSIGN(const json::object object, parseAnswer(answer));
    ReadAnswer read;
    BOOST_LEAF_ASSIGN(read.kept, keptRangeFrom(object));
    BOOST_LEAF_ASSIGN(const json::array* const records, arrayIn(object, "records"));
    if (records->size() > limit || from < read.kept.first)
        return leaf::new_error(PlatformError::Malformed);
    read.records.reserve(records->size());
    for (const json::value& value : *records) {
        const Utils::Offset expected = from + read.records.size();
        Agreement::LogRecord& record = read.records.emplace_back();
        BOOST_LEAF_CHECK(readRecord(record, value));
        if (record.offset != expected || record.offset >= read.kept.end)
            return leaf::new_error(PlatformError::Malformed);
    }
    return read;
}

leaf::result<KeptRange> keptRangeFrom(const HttpAnswer& answer)
{
    BOOST_LEAF_ASSIGN(const json::object object, parseAnswer(answer));
    return keptRangeFrom(object);
}

leaf::error_id expiredError(const HttpAnswer& answer, Utils::Offset from)
{
    const leaf::result<KeptRange> kept = keptRangeFrom(answer);
    if (!kept || kept->first <= from)
        return leaf::new_error(PlatformError::Malformed);
    return leaf::new_error(PlatformError::Expired, *kept);
}

} // namespace Internal

leaf::result<AppendAnswer> appendRecord(
    const LogEndpoint& endpoint, const std::string& text, Utils::Duration timeout)
{
    if (!Internal::isStreamName(endpoint.stream))
        return leaf::new_error(PlatformError::BadEndpoint);
    if (text.size() > maxRecordBytes)
        return leaf::new_error(PlatformError::RecordTooLarge);
    BOOST_LEAF_ASSIGN(const Internal::HttpAnswer answer,
        Internal::callHttp(
            endpoint.service, Internal::HttpMethod::Post, Internal::targetOf(endpoint), text, timeout));
    if (answer.status == Internal::statusTooLarge)
        return leaf::new_error(PlatformError::RecordTooLarge);
    if (answer.status == Internal::statusUnavailable)
        return leaf::new_error(PlatformError::Unavailable);
    if (answer.status != Internal::statusOk)
        return leaf::new_error(PlatformError::AnswerLost, HttpStatus { answer.status });
    leaf::result<AppendAnswer> append = Internal::appendAnswerFrom(answer);
    if (!append)
        return leaf::new_error(PlatformError::AnswerLost);
    return append;
}

leaf::result<ReadAnswer> readRecords(const LogEndpoint& endpoint, Utils::Offset from, std::size_t limit,
    Utils::Duration wait, Utils::Duration timeout)
{
    if (!Internal::isStreamName(endpoint.stream))
        return leaf::new_error(PlatformError::BadEndpoint);
    const std::size_t bounded = std::clamp<std::size_t>(limit, 1, maxRecordsPerRead);
    const std::string target = Internal::targetOf(endpoint) + "?from=" + std::to_string(from)
        + "&limit=" + std::to_string(bounded) + "&wait_ms=" + std::to_string(Utils::toMilliseconds(wait));
    BOOST_LEAF_ASSIGN(const Internal::HttpAnswer answer,
        Internal::callHttp(endpoint.service, Internal::HttpMethod::Get, target, {}, timeout));
    if (answer.status == Internal::statusGone)
        return Internal::expiredError(answer, from);
    if (answer.status == Internal::statusUnavailable)
        return leaf::new_error(PlatformError::Unavailable);
    if (answer.status != Internal::statusOk)
        return leaf::new_error(PlatformError::UnexpectedStatus, HttpStatus { answer.status });
    return Internal::readAnswerFrom(answer, from, bounded);
}

} // namespace LogService
