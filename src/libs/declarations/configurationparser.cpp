#include <declarations/configurationparser.h>

#include <declarations/declarationsconstants.h>
#include <declarations/internal/duplicatefields.h>
#include <declarations/internal/fieldvalues.h>
#include <declarations/internal/objectparsers.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace Declarations {

namespace {

using Internal::FieldReader;
using Internal::pointerTo;

void reportDocument(
    ParsedSet& set, const Document& document, FaultCode code, std::string place, std::string detail)
{
    set.complete = false;
    set.faults.push_back({ code, document.file, std::move(place), ObjectKind::None, {}, std::move(detail) });
}

std::optional<boost::json::value> parseText(ParsedSet& set, const Document& document)
{
    if (document.text.size() > maxDocumentBytes) {
        reportDocument(set, document, FaultCode::DocumentTooLarge, {},
            "a document has at most " + std::to_string(maxDocumentBytes) + " bytes");
        return std::nullopt;
    }
    boost::json::error_code error;
    boost::json::parse_options options;
    options.max_depth = maxNesting;
    boost::json::value value = boost::json::parse(document.text, error, {}, options);
    if (error == boost::json::error::too_deep) {
        reportDocument(set, document, FaultCode::NestingTooDeep, {},
            "objects and lists nest at most " + std::to_string(maxNesting) + " deep");
        return std::nullopt;
    }
    if (error) {
        reportDocument(set, document, FaultCode::MalformedJson, {}, error.message());
        return std::nullopt;
    }
    return value;
}

void parseByKind(FieldReader& reader, ParsedSet& set)
{
    switch (reader.ref.kind) {
    case ObjectKind::Region:
        return Internal::parseRegion(reader, set.configuration);
    case ObjectKind::AvailabilityZone:
        return Internal::parseAvailabilityZone(reader, set.configuration);
    case ObjectKind::RegionLink:
        return Internal::parseRegionLink(reader, set.configuration);
    case ObjectKind::Rank:
        return Internal::parseRank(reader, set.configuration);
    case ObjectKind::Policy:
        return Internal::parsePolicy(reader, set.configuration);
    case ObjectKind::UpstreamPool:
        return Internal::parseUpstreamPool(reader, set.configuration, set.origins);
    case ObjectKind::Service:
        return Internal::parseService(reader, set.configuration);
    case ObjectKind::KeyRange:
        return Internal::parseKeyRange(reader, set.configuration);
    case ObjectKind::None:
    case ObjectKind::Upstream:
        return;
    }
}

bool readKind(FieldReader& reader)
{
    std::string text;
    Internal::readText(reader, "kind", Internal::Need::Required, text);
    if (!reader.origin.sound)
        return false;
    const std::optional<ObjectKind> kind = Utils::enumFromName(objectKindNames, text);
    if (!kind.has_value() || kind == ObjectKind::None || kind == ObjectKind::Upstream) {
        reportUnreadable(reader, FaultCode::UnknownKind, "kind", "no such kind of object");
        return false;
    }
    reader.ref.kind = *kind;
    return true;
}

/// The name that faults give a link: its regions in order.
std::string linkName(const FieldReader& reader)
{
    std::string names[2];
    const std::string_view fields[2] = { "first", "second" };
    for (int i = 0; i < 2; i += 1) {
        const boost::json::value* value = reader.fields.if_contains(fields[i]);
        if (value && value->is_string())
            names[i] = std::string(value->get_string());
    }
    std::sort(std::begin(names), std::end(names));
    return names[0] + '/' + names[1];
}

bool readIdentity(FieldReader& reader)
{
    if (!readKind(reader))
        return false;
    if (reader.ref.kind != ObjectKind::RegionLink)
        return Internal::readObjectName(reader);
    reader.ref.name = linkName(reader);
    return true;
}

/// Reports the second object of a name. Its fields are still read, for their own faults.
void parseDuplicate(FieldReader& reader)
{
    const std::string_view field = reader.ref.kind == ObjectKind::RegionLink ? "" : "name";
    report(reader, FaultCode::DuplicateName, field, "another object of this kind has this name");
    ParsedSet aside;
    parseByKind(reader, aside);
    reportUnknownFields(reader);
}

void parseObject(FieldReader& reader, ParsedSet& set)
{
    if (!readIdentity(reader))
        return;
    const Origins::iterator earlier = set.origins.find(reader.ref);
    if (earlier != set.origins.end()) {
        earlier->second.sound = false;
        parseDuplicate(reader);
        return;
    }
    parseByKind(reader, set);
    reportUnknownFields(reader);
    set.origins.emplace(reader.ref, reader.origin);
}

void parseObjects(ParsedSet& set, const Document& document, const boost::json::array& objects)
{
    std::size_t index = 0;
    for (const boost::json::value& entry : objects) {
        const std::string place = "/objects/" + std::to_string(index);
        index += 1;
        if (!entry.is_object()) {
            reportDocument(set, document, FaultCode::WrongType, place, "must be an object");
            continue;
        }
        FieldReader reader { entry.get_object(), {}, { document.file, place, true }, set.faults };
        parseObject(reader, set);
    }
}

/// The object that \a place lies in.
ObjectRef objectAt(const Origins& origins, const std::string& file, const std::string& place)
{
    ObjectRef found;
    std::size_t longest = 0;
    for (const std::pair<const ObjectRef, Origin>& entry : origins) {
        const Origin& origin = entry.second;
        const bool around = origin.file == file && place.starts_with(origin.place + '/');
        if (around && origin.place.size() > longest) {
            found = entry.first;
            longest = origin.place.size();
        }
    }
    return found;
}

void reportDuplicateFields(ParsedSet& set, const Document& document)
{
    for (const std::string& place : Internal::findDuplicateFields(document.text)) {
        const ObjectRef ref = objectAt(set.origins, document.file, place);
        set.faults.push_back({ FaultCode::DuplicateField, document.file, place, ref.kind, ref.name,
            "the field stands twice in one object" });
    }
}

void parseDocument(ParsedSet& set, const Document& document)
{
    const std::optional<boost::json::value> value = parseText(set, document);
    if (!value.has_value())
        return;
    if (!value->is_object()) {
        reportDocument(set, document, FaultCode::WrongType, {}, "must be an object with a list \"objects\"");
        return;
    }
    FieldReader reader { value->get_object(), {}, { document.file, {}, true }, set.faults };
    const boost::json::value* objects = requireField(reader, "objects");
    if (objects && objects->is_array())
        parseObjects(set, document, objects->get_array());
    if (objects && !objects->is_array())
        reportUnreadable(reader, FaultCode::WrongType, "objects", "must be a list of objects");
    set.complete = set.complete && reader.origin.sound;
    reportUnknownFields(reader);
    reportDuplicateFields(set, document);
}

bool linkBefore(const RegionLink& left, const RegionLink& right)
{
    return left.first != right.first ? left.first < right.first : left.second < right.second;
}

} // namespace

ParsedSet parseConfiguration(const std::vector<Document>& documents)
{
    ParsedSet set;
    for (const Document& document : documents)
        parseDocument(set, document);
    std::vector<RegionLink>& links = set.configuration.links;
    std::sort(links.begin(), links.end(), linkBefore);
    return set;
}

} // namespace Declarations
