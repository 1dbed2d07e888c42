#pragma once

#include <utils/id.h>

#include <cstdint>

namespace Gateway {

/// One data link between this instance and another, for the life of its connection.
using LinkId = Utils::Id<struct LinkTag, std::uint64_t>;

} // namespace Gateway
