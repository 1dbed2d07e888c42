#pragma once

#include <declarations/document.h>
#include <declarations/parsedset.h>
#include <declarations/readresult.h>

#include <vector>

namespace Declarations {

/// Reads \a documents as one set and checks it: the fields of each object, the references between objects and
/// the whole. Reports all faults at once. When a document is no JSON or has no list of objects, the checks
/// between objects are left out, since they would report what that document may declare.
ReadResult readConfiguration(const std::vector<Document>& documents);

/// The second half of readConfiguration(), for callers that need the origins of the objects too.
ReadResult checkParsedSet(ParsedSet parsed);

} // namespace Declarations
