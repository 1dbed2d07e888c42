#pragma once

#include <declarations/document.h>
#include <declarations/documenterror.h>

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace Declarations {

/// Reads the files in \a paths; of a folder, the files that end in ".json", in order of their names.
/// Errors: DocumentError with DocumentPath.
boost::leaf::result<std::vector<Document>> readDocuments(const std::vector<std::string>& paths);

} // namespace Declarations
