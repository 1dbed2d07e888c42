#pragma once

#include <declarations/internal/fieldreader.h>
#include <utils/id.h>
#include <utils/time.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Readers of single fields. Each leaves its target as it is when the field is absent or wrong, and reports
/// why.
namespace Declarations::Internal {

/// Whether a field has to be there; an optional one keeps its default.
enum class Need {
    Required,
    Optional,
};

/// Smallest and largest number that a field takes, both included.
struct IntegerBounds {
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

/// Smallest and largest length of time that a field takes, both included.
struct DurationBounds {
    Utils::Duration least {};
    Utils::Duration most {};
};

/// The value of \a field; null when it isn't there, with a fault if it has to be.
const boost::json::value* fieldValue(FieldReader& reader, std::string_view field, Need need);

void readText(FieldReader& reader, std::string_view field, Need need, std::string& target);
void readFlag(FieldReader& reader, std::string_view field, bool& target);
void readInteger(
    FieldReader& reader, std::string_view field, Need need, IntegerBounds bounds, std::uint64_t& target);
void readUnsigned(
    FieldReader& reader, std::string_view field, Need need, IntegerBounds bounds, unsigned& target);
/// Reads whole milliseconds.
void readDuration(
    FieldReader& reader, std::string_view field, Need need, DurationBounds bounds, Utils::Duration& target);
/// Reads a number from 0 to \a most, rounded to the steps that shares are kept in.
void readShare(FieldReader& reader, std::string_view field, Need need, double most, double& target);

/// Whether \a name can name an object: lower-case letters, digits, '-', '_' and '.', starting with a letter
/// or a digit.
bool isName(std::string_view name);

/// Reads a reference to another object by its name.
template <typename Tag>
void readReference(FieldReader& reader, std::string_view field, Utils::Id<Tag>& target)
{
    readText(reader, field, Need::Required, target.value);
}

/// Reads a number that is a share when it stands at \a value; \c false, and a fault at \a field, if it is
/// none.
bool shareOf(FieldReader& reader, std::string_view field, const boost::json::value& value, double most,
    double& target);

/// Runs \a read on the object at the optional \a field, which belongs to \a reader's object.
template <typename Read> void readInner(FieldReader& reader, std::string_view field, Read read)
{
    const boost::json::value* value = findField(reader, field);
    if (!value)
        return;
    if (!value->is_object()) {
        reportUnreadable(reader, FaultCode::WrongType, field, "must be an object");
        return;
    }
    FieldReader inner = innerReader(reader, value->get_object(), field);
    read(inner);
    reportUnknownFields(inner);
    reader.origin.sound = reader.origin.sound && inner.origin.sound;
}

} // namespace Declarations::Internal
