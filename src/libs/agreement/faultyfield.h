#pragma once

#include <string>

namespace Agreement {

/// The field that a codec error is about.
struct FaultyField {
    std::string name;
};

} // namespace Agreement
