#pragma once

#include <utils/time.h>

#include <cstdint>

namespace Edge {

/// Reports of one kind from an upstream that could not be read.
struct UnreadableReports {
    Utils::Instant loggedAt {};
    std::uint64_t sinceLogged = 0;
};

} // namespace Edge
