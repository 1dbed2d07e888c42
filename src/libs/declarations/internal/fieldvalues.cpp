#include <declarations/internal/fieldvalues.h>

#include <declarations/declarationsconstants.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace Declarations::Internal {

namespace {

std::optional<std::uint64_t> asUnsigned(const boost::json::value& value)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    return std::nullopt;
}

std::string boundsText(std::uint64_t least, std::uint64_t most)
{
    return "must be from " + std::to_string(least) + " to " + std::to_string(most);
}

std::string shareText(double most)
{
    return "must be from 0 to " + std::to_string(static_cast<std::uint64_t>(most));
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

} // namespace

const boost::json::value* fieldValue(FieldReader& reader, std::string_view field, Need need)
{
    return need == Need::Required ? requireField(reader, field) : findField(reader, field);
}

void readText(FieldReader& reader, std::string_view field, Need need, std::string& target)
{
    const boost::json::value* value = fieldValue(reader, field, need);
    if (!value)
        return;
    if (!value->is_string()) {
        reportUnreadable(reader, FaultCode::WrongType, field, "must be a string");
        return;
    }
    target = std::string(value->get_string());
}

void readFlag(FieldReader& reader, std::string_view field, bool& target)
{
    const boost::json::value* value = findField(reader, field);
    if (!value)
        return;
    if (!value->is_bool()) {
        reportUnreadable(reader, FaultCode::WrongType, field, "must be true or false");
        return;
    }
    target = value->get_bool();
}

void readInteger(
    FieldReader& reader, std::string_view field, Need need, IntegerBounds bounds, std::uint64_t& target)
{
    const boost::json::value* value = fieldValue(reader, field, need);
    if (!value)
        return;
    if (!value->is_int64() && !value->is_uint64()) {
        reportUnreadable(reader, FaultCode::WrongType, field, "must be a whole number");
        return;
    }
    const std::optional<std::uint64_t> number = asUnsigned(*value);
    if (!number.has_value() || *number < bounds.least || *number > bounds.most) {
        reportUnreadable(reader, FaultCode::OutOfRange, field, boundsText(bounds.least, bounds.most));
        return;
    }
    target = *number;
}

void readUnsigned(
    FieldReader& reader, std::string_view field, Need need, IntegerBounds bounds, unsigned& target)
{
    std::uint64_t number = target;
    readInteger(reader, field, need, bounds, number);
    target = static_cast<unsigned>(number);
}

void readDuration(
    FieldReader& reader, std::string_view field, Need need, DurationBounds bounds, Utils::Duration& target)
{
    const std::uint64_t unread = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t milliseconds = unread;
    const IntegerBounds inMilliseconds { static_cast<std::uint64_t>(Utils::toMilliseconds(bounds.least)),
        static_cast<std::uint64_t>(Utils::toMilliseconds(bounds.most)) };
    readInteger(reader, field, need, inMilliseconds, milliseconds);
    if (milliseconds != unread)
        target = std::chrono::milliseconds(milliseconds);
}

bool shareOf(
    FieldReader& reader, std::string_view field, const boost::json::value& value, double most, double& target)
{
    if (!value.is_number()) {
        reportUnreadable(reader, FaultCode::WrongType, field, "must be a number");
        return false;
    }
    const double number = value.to_number<double>();
    if (!(number >= 0 && number <= most)) {
        reportUnreadable(reader, FaultCode::OutOfRange, field, shareText(most));
        return false;
    }
    target = std::round(number * shareSteps) / shareSteps;
    return true;
}

void readShare(FieldReader& reader, std::string_view field, Need need, double most, double& target)
{
    const boost::json::value* value = fieldValue(reader, field, need);
    if (value)
        shareOf(reader, field, *value, most, target);
}

bool isName(std::string_view name)
{
    if (name.empty() || name.size() > maxNameBytes || !std::all_of(name.begin(), name.end(), isNameCharacter))
        return false;
    return (name[0] >= 'a' && name[0] <= 'z') || (name[0] >= '0' && name[0] <= '9');
}

} // namespace Declarations::Internal
