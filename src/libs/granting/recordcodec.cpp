#include <granting/recordcodec.h>
#include <granting/recorderror.h>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

namespace Granting {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

json::object encodeSegment(const Segment& segment)
{
    json::object object { { "first", segment.span.first }, { "last", segment.span.last },
        { "holder", segment.holder.value }, { "settled", segment.isConfirmed }, { "token", segment.token } };
    if (!segment.previousHolders.empty()) {
        json::array previousHolders;
        for (const Utils::UpstreamId& previousHolder : segment.previousHolders)
            previousHolders.emplace_back(previousHolder.value);
        object["formers"] = std::move(previousHolders);
    }
    return object;
}

Segment decodeSegment(const json::object& object)
{
    Segment segment;
    segment.span.first = json::value_to<std::uint16_t>(object.at("first"));
    segment.span.last = json::value_to<std::uint16_t>(object.at("last"));
    segment.holder.value = json::value_to<std::string>(object.at("holder"));
    segment.isConfirmed = object.at("settled").as_bool();
    segment.token = json::value_to<std::uint64_t>(object.at("token"));
    if (const json::value* previousHolders = object.if_contains("formers")) {
        for (const json::value& previousHolder : previousHolders->as_array())
            segment.previousHolders.push_back({ json::value_to<std::string>(previousHolder) });
    }
    return segment;
}

bool isConsistent(const std::vector<Segment>& segments)
{
    std::uint32_t next = 0;
    for (const Segment& segment : segments) {
        if (segment.span.first != next || segment.span.last < segment.span.first)
            return false;
        next = static_cast<std::uint32_t>(segment.span.last) + 1;
    }
    return segments.empty() || next == static_cast<std::uint32_t>(UINT16_MAX) + 1;
}

KeyAssignment parseAssignment(const json::object& object)
{
    KeyAssignment assignment;
    assignment.service.value = json::value_to<std::string>(object.at("service"));
    assignment.term = json::value_to<std::uint64_t>(object.at("term"));
    assignment.version = json::value_to<std::uint64_t>(object.at("version"));
    for (const json::value& segment : object.at("segments").as_array())
        assignment.segments.push_back(decodeSegment(segment.as_object()));
    return assignment;
}

LeaderRecord parseLeader(const json::object& object)
{
    LeaderRecord record;
    record.vm.value = json::value_to<std::string>(object.at("vm"));
    record.incarnation = json::value_to<std::uint64_t>(object.at("incarnation"));
    record.loadReportEndpoint.address = json::value_to<std::string>(object.at("address"));
    record.loadReportEndpoint.port = json::value_to<std::uint16_t>(object.at("port"));
    // Absent in records of former versions.
    if (const json::value* era = object.if_contains("settled_era"))
        record.settledEra = json::value_to<std::uint64_t>(*era);
    if (const json::value* vms = object.if_contains("vms"))
        record.vmCount = json::value_to<std::uint32_t>(*vms);
    if (const json::value* relays = object.if_contains("relays"))
        record.relays = json::value_to<std::vector<std::string>>(*relays);
    return record;
}

/// Parses \a text and passes the JSON object to \a parse. Boost.JSON reports missing and mistyped fields by
/// exceptions.
template <typename Record>
leaf::result<Record> parseObject(std::string_view text, Record (*parse)(const json::object&))
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return leaf::new_error(RecordError::Unreadable);
    try {
        return parse(value.get_object());
    } catch (const std::exception&) {
        return leaf::new_error(RecordError::Unreadable);
    }
}

} // namespace Internal

std::string encodeLeader(const LeaderRecord& record)
{
    json::object object { { "vm", record.vm.value }, { "incarnation", record.incarnation },
        { "address", record.loadReportEndpoint.address }, { "port", record.loadReportEndpoint.port },
        { "settled_era", record.settledEra }, { "vms", record.vmCount } };
    if (!record.relays.empty())
        object["relays"] = json::value_from(record.relays);
    return json::serialize(object);
}

leaf::result<LeaderRecord> decodeLeader(std::string_view text)
{
    return Internal::parseObject<LeaderRecord>(text, Internal::parseLeader);
}

std::string encodeAssignment(const KeyAssignment& assignment)
{
    json::array segments;
    for (const Segment& segment : assignment.segments)
        segments.emplace_back(Internal::encodeSegment(segment));
    return json::serialize(
        json::object { { "service", assignment.service.value }, { "term", assignment.term },
            { "version", assignment.version }, { "segments", std::move(segments) } });
}

leaf::result<KeyAssignment> decodeAssignment(std::string_view text)
{
    BOOST_LEAF_AUTO(assignment, Internal::parseObject<KeyAssignment>(text, Internal::parseAssignment));
    if (!Internal::isConsistent(assignment.segments))
        return leaf::new_error(RecordError::Inconsistent);
    return assignment;
}

} // namespace Granting
