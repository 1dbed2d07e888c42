#pragma once

#include <declarations/fault.h>
#include <declarations/objectref.h>
#include <declarations/origin.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Declarations::Internal {

/// The reading of one JSON object: what it belongs to, which fields were asked for, and what was wrong.
struct FieldReader {
    const boost::json::object& fields;
    ObjectRef ref;
    /// Place of the object; \c sound turns false with the first field that can't be read.
    Origin origin;
    std::vector<Fault>& faults;
    std::set<std::string, std::less<>> known {};
};

/// Appends \a step to the JSON pointer \a place, escaped.
std::string pointerTo(std::string_view place, std::string_view step);

/// Reports a fault at \a field of the object, or at the object itself when \a field is empty.
void report(FieldReader& reader, FaultCode code, std::string_view field, std::string detail);

/// The same, and marks the object as not readable.
void reportUnreadable(FieldReader& reader, FaultCode code, std::string_view field, std::string detail);

/// A reader for the object \a fields that stands at \a step of \a outer's object and belongs to it.
FieldReader innerReader(FieldReader& outer, const boost::json::object& fields, std::string_view step);

/// The value of \a field, or null when it isn't there.
const boost::json::value* findField(FieldReader& reader, std::string_view field);

/// The value of \a field; null, and a fault, when it isn't there.
const boost::json::value* requireField(FieldReader& reader, std::string_view field);

/// Reports every field that nothing asked for.
void reportUnknownFields(FieldReader& reader);

} // namespace Declarations::Internal
