#pragma once

#include <agreement/agreedstate.h>

#include <boost/json/object.hpp>

#include <ostream>
#include <string>

namespace Commands::Internal {

/// Writes the declarations in \a text as a document with one object a line, which `check` and `publish` read.
void writeDeclarations(std::ostream& stream, const std::string& text);

/// Writes where the log stands and the assignment of each pool.
void writeAgreed(std::ostream& stream, const Agreement::AgreedState& agreed);

/// The same as JSON, with the owner and standby of each shard.
boost::json::object agreedToJson(const Agreement::AgreedState& agreed);

} // namespace Commands::Internal
