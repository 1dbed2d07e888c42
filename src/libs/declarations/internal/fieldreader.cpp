#include <declarations/internal/fieldreader.h>

#include <utility>

namespace Declarations::Internal {

std::string pointerTo(std::string_view place, std::string_view step)
{
    std::string pointer(place);
    pointer += '/';
    for (const char c : step) {
        if (c == '~')
            pointer += "~0";
        else if (c == '/')
            pointer += "~1";
        else
            pointer += c;
    }
    return pointer;
}

void report(FieldReader& reader, FaultCode code, std::string_view field, std::string detail)
{
    const std::string place = field.empty() ? reader.origin.place : pointerTo(reader.origin.place, field);
    reader.faults.push_back(
        { code, reader.origin.file, place, reader.ref.kind, reader.ref.name, std::move(detail) });
}

void reportUnreadable(FieldReader& reader, FaultCode code, std::string_view field, std::string detail)
{
    reader.origin.sound = false;
    report(reader, code, field, std::move(detail));
}

FieldReader innerReader(FieldReader& outer, const boost::json::object& fields, std::string_view step)
{
    const Origin origin { outer.origin.file, pointerTo(outer.origin.place, step), true };
    return { fields, outer.ref, origin, outer.faults };
}

const boost::json::value* findField(FieldReader& reader, std::string_view field)
{
    reader.known.emplace(field);
    return reader.fields.if_contains(field);
}

const boost::json::value* requireField(FieldReader& reader, std::string_view field)
{
    const boost::json::value* value = findField(reader, field);
    if (!value)
        reportUnreadable(reader, FaultCode::MissingField, field, "a required field is missing");
    return value;
}

void reportUnknownFields(FieldReader& reader)
{
    for (const boost::json::key_value_pair& field : reader.fields) {
        const std::string_view name(field.key());
        if (!reader.known.contains(name))
            report(reader, FaultCode::UnknownField, name, "no such field in this kind of object");
    }
}

} // namespace Declarations::Internal
