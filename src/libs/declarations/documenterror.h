#pragma once

#include <utils/enumtable.h>

#include <array>
#include <string>

namespace Declarations {

/// Why the documents of a set could not be read from files.
enum class DocumentError {
    NotFound,
    NotReadable,
    /// A folder without JSON files.
    EmptyFolder,
};

inline constexpr std::array<Utils::EnumName<DocumentError>, 3> documentErrorNames { {
    { DocumentError::NotFound, "not_found" },
    { DocumentError::NotReadable, "not_readable" },
    { DocumentError::EmptyFolder, "empty_folder" },
} };

/// The path that a DocumentError is about.
struct DocumentPath {
    std::string value;
};

} // namespace Declarations
