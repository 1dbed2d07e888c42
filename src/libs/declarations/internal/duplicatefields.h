#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Declarations::Internal {

/// JSON pointers to the fields that stand twice in one object of \a text, which must be well-formed.
/// Boost.JSON would keep the last one silently.
std::vector<std::string> findDuplicateFields(std::string_view text);

} // namespace Declarations::Internal
