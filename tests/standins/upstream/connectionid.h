#pragma once

#include <utils/id.h>

#include <cstdint>

namespace StandInUpstream {

/// One accepted connection.
using ConnectionId = Utils::Id<struct ConnectionTag, std::uint64_t>;

} // namespace StandInUpstream
