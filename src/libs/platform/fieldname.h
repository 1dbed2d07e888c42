#pragma once

#include <string>

namespace Platform {

/// Name of the field that could not be decoded; accompanies a DecodeError. Empty if the document as a whole
/// is not readable.
struct FieldName {
    std::string name;
};

} // namespace Platform
