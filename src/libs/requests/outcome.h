#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Requests {

/// What became of a request, as the caller is told.
enum class Outcome {
    /// An upstream ran it and this is its whole answer.
    Done,
    /// No upstream ran it or will run it.
    NotRun,
    /// An upstream may have run it.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<Outcome>, 3> outcomeNames { {
    { Outcome::Done, "done" },
    { Outcome::NotRun, "not-run" },
    { Outcome::Unknown, "unknown" },
} };

} // namespace Requests
