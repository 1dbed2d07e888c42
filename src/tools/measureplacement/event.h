#pragma once

#include <placement/placementinput.h>
#include <utils/enumtable.h>

#include <array>
#include <random>

namespace MeasurePlacement {

/// What happens to a pool.
enum class Event { None, Add, Remove, Leave, HotShard, HotKeys };

inline constexpr std::array<Utils::EnumName<Event>, 6> eventNames { {
    { Event::None, "none" },
    { Event::Add, "add" },
    { Event::Remove, "remove" },
    { Event::Leave, "leave" },
    { Event::HotShard, "hot_shard" },
    { Event::HotKeys, "hot_keys" },
} };

/// Applies \a event to \a input; HotKeys is left to the workload.
void applyEvent(Event event, Placement::PlacementInput& input, std::mt19937_64& random);

} // namespace MeasurePlacement
