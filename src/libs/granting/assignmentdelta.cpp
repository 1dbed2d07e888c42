#include <granting/assignmentdelta.h>
#include <granting/recorderror.h>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>

namespace Granting {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

/// Index of the first previous holder in an encoded segment.
constexpr std::size_t previousHoldersIndex = 4;

bool isSame(const Segment& one, const Segment& other)
{
    return one.span == other.span && one.holder == other.holder && one.isConfirmed == other.isConfirmed
        && one.previousHolders == other.previousHolders;
}

bool overlapsAny(const std::vector<Segment>& segments, const Routing::KeySpan& span)
{
    return std::any_of(segments.begin(), segments.end(), [&span](const Segment& segment) {
        return segment.span.first <= span.last && span.first <= segment.span.last;
    });
}

bool coversAllKeys(const std::vector<Segment>& segments)
{
    std::uint32_t next = 0;
    for (const Segment& segment : segments) {
        if (segment.span.first != next || segment.span.last < segment.span.first)
            return false;
        next = static_cast<std::uint32_t>(segment.span.last) + 1;
    }
    return next == static_cast<std::uint32_t>(UINT16_MAX) + 1;
}

AssignmentDelta parseDelta(const json::array& fields)
{
    AssignmentDelta delta;
    delta.service.value = json::value_to<std::string>(fields.at(0));
    delta.baseTerm = json::value_to<std::uint64_t>(fields.at(1));
    delta.baseVersion = json::value_to<std::uint64_t>(fields.at(2));
    delta.term = json::value_to<std::uint64_t>(fields.at(3));
    delta.version = json::value_to<std::uint64_t>(fields.at(4));
    for (const json::value& value : fields.at(5).as_array()) {
        const json::array& packed = value.as_array();
        Segment segment;
        segment.span.first = json::value_to<std::uint16_t>(packed.at(0));
        segment.span.last = json::value_to<std::uint16_t>(packed.at(1));
        segment.holder.value = json::value_to<std::string>(packed.at(2));
        segment.isConfirmed = packed.at(3).as_bool();
        for (std::size_t index = previousHoldersIndex; index < packed.size(); ++index)
            segment.previousHolders.push_back({ json::value_to<std::string>(packed.at(index)) });
        delta.segments.push_back(std::move(segment));
    }
    return delta;
}

} // namespace Internal

AssignmentDelta computeDelta(const KeyAssignment& base, const KeyAssignment& next)
{
    AssignmentDelta delta { next.service, base.term, base.version, next.term, next.version, {} };
    auto baseSegment = base.segments.begin();
    for (const Segment& segment : next.segments) {
        baseSegment = std::find_if(baseSegment, base.segments.end(),
            [&segment](const Segment& other) { return other.span.first >= segment.span.first; });
        if (baseSegment != base.segments.end() && Internal::isSame(*baseSegment, segment))
            continue;
        delta.segments.push_back(
            { segment.span, segment.holder, segment.isConfirmed, 0, segment.previousHolders });
    }
    return delta;
}

std::optional<KeyAssignment> applyDelta(const KeyAssignment& base, const AssignmentDelta& delta)
{
    if (base.service != delta.service || base.term != delta.baseTerm || base.version != delta.baseVersion)
        return std::nullopt;
    KeyAssignment next { delta.service, delta.term, delta.version, delta.segments };
    for (const Segment& segment : base.segments) {
        if (!Internal::overlapsAny(delta.segments, segment.span))
            next.segments.push_back(segment);
    }
    std::sort(next.segments.begin(), next.segments.end(),
        [](const Segment& one, const Segment& other) { return one.span.first < other.span.first; });
    if (!Internal::coversAllKeys(next.segments))
        return std::nullopt;
    return next;
}

std::string encodeDelta(const AssignmentDelta& delta)
{
    json::array segments;
    for (const Segment& segment : delta.segments) {
        json::array packed { segment.span.first, segment.span.last, json::string(segment.holder.value),
            segment.isConfirmed };
        for (const Utils::UpstreamId& previousHolder : segment.previousHolders)
            packed.emplace_back(previousHolder.value);
        segments.push_back(std::move(packed));
    }
    return json::serialize(json::array { json::string(delta.service.value), delta.baseTerm, delta.baseVersion,
        delta.term, delta.version, std::move(segments) });
}

leaf::result<AssignmentDelta> decodeDelta(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_array())
        return leaf::new_error(RecordError::Unreadable);
    try {
        return Internal::parseDelta(value.get_array());
    } catch (const std::exception&) {
        // Boost.JSON reports missing and mistyped fields by exceptions.
        return leaf::new_error(RecordError::Unreadable);
    }
}

} // namespace Granting
