#pragma once

#include <utils/ids.h>

namespace LogService {

/// Where the log put a record.
struct AppendAnswer {
    Utils::Offset offset = 0;

    bool operator==(const AppendAnswer&) const = default;
};

} // namespace LogService
