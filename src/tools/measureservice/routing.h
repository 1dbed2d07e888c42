#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Measure {

/// Who decides which work runs.
enum class Routing {
    /// The dispatch library: one dispatcher for the pool.
    Dispatcher,
    /// One queue for each upstream, first come first served, exact slots.
    FirstCome,
    /// No dispatcher: each entry VM has its own queue, urgent first, and sends one work at a time to each
    /// upstream.
    PerEntry,
};

inline constexpr std::array<Utils::EnumName<Routing>, 3> routingNames { {
    { Routing::Dispatcher, "dispatcher" },
    { Routing::FirstCome, "first_come" },
    { Routing::PerEntry, "per_entry" },
} };

} // namespace Measure
