#pragma once

#include <string>

namespace Platform {

/// The field that could not be decoded; comes with a DecodeError.
struct FieldName {
    std::string name;
};

} // namespace Platform
