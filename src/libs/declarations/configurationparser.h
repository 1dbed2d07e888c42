#pragma once

#include <declarations/document.h>
#include <declarations/parsedset.h>

#include <vector>

namespace Declarations {

/// Reads the objects of \a documents, each `{"objects":[...]}`, into one configuration. Reports what is wrong
/// with the documents and with the fields of each object; checkConfiguration() does the rest.
ParsedSet parseConfiguration(const std::vector<Document>& documents);

} // namespace Declarations
