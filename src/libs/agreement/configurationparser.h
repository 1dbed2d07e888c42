#pragma once

#include <declarations/configuration.h>

#include <functional>
#include <optional>
#include <string_view>

namespace Agreement {

/// Reads and checks a configuration; nothing when it is faulty. Every VM must judge the same text alike.
using ConfigurationParser = std::function<std::optional<Declarations::Configuration>(std::string_view)>;

} // namespace Agreement
