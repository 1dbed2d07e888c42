#pragma once

#include <agreement/codecerror.h>
#include <agreement/faultyfield.h>
#include <agreement/recordvariant.h>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

/// Records as JSON text.
namespace Agreement {

/// The text of \a record. It can be longer than the log takes; the append says so.
std::string encodeRecord(const RecordVariant& record);

/// The record in \a text. Fails with a CodecError, with a FaultyField where one field is to blame.
boost::leaf::result<RecordVariant> decodeRecord(std::string_view text);

} // namespace Agreement
