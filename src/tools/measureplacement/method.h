#pragma once

#include <utils/enumtable.h>

#include <array>

namespace MeasurePlacement {

/// Ways to place shards.
enum class Method {
    /// Weighted rendezvous hashing of every shard, without regard to load.
    Rendezvous,
    /// Lowest worst load anew at each event, without regard to moves.
    Repack,
    /// Lowest worst load, then fewest moves, within the budget.
    TwoStep,
};

inline constexpr std::array<Utils::EnumName<Method>, 3> methodNames { {
    { Method::Rendezvous, "rendezvous" },
    { Method::Repack, "repack" },
    { Method::TwoStep, "two_step" },
} };

} // namespace MeasurePlacement
