#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Explorer {

/// Result of an exploration.
struct SearchResult {
    std::size_t states = 0;
    std::size_t steps = 0;
    /// Number of ticks that were explored completely.
    unsigned ticks = 0;
    /// Whether every state within the horizon was visited.
    bool isComplete = false;
    /// Whether no unexplored state was left, so that a larger horizon would find no further states.
    bool isStateSpaceExhausted = false;
    /// The violated safety property; empty if there is none.
    std::string violation;
    /// The shortest trace to the violation.
    std::vector<std::string> trace;
};

} // namespace Explorer
