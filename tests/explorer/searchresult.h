#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Explorer {

/// What an exploration found.
struct SearchResult {
    std::size_t states = 0;
    std::size_t steps = 0;
    /// Ticks that were explored to their end.
    unsigned ticks = 0;
    /// Whether every state within the horizon was seen.
    bool isComplete = false;
    /// Whether no new state was left at all, so that the horizon bounds nothing.
    bool isStateSpaceExhausted = false;
    /// The broken promise; empty if none is.
    std::string violation;
    /// The shortest way to it.
    std::vector<std::string> trace;
};

} // namespace Explorer
