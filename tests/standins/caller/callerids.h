#pragma once

#include <utils/id.h>

#include <cstddef>
#include <cstdint>

namespace StandInCaller {

/// A request, by its place in the schedule.
using RequestNumber = Utils::Id<struct RequestNumberTag, std::size_t>;
/// A connection to an entry VM.
using ConnectionId = Utils::Id<struct ConnectionTag, std::uint64_t>;
/// An entry VM, by its place in the settings.
using EntryNumber = Utils::Id<struct EntryNumberTag, std::size_t>;

} // namespace StandInCaller
