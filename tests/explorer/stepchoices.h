#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Explorer {

/// The nondeterministic choices of one step, such as which message is lost. A step is repeated until every
/// combination of choices was explored.
struct StepChoices {
    std::vector<std::uint8_t> chosen;
    std::vector<std::uint8_t> optionCounts;
    std::size_t position = 0;
    /// State of each link within the step, by sender and receiver.
    std::map<std::array<std::size_t, 3>, unsigned> linkStates;
};

/// The option of \a width options that this run has to take.
unsigned choose(StepChoices& choices, unsigned width);

/// Advances to the next combination; returns false after the last.
bool nextCombination(StepChoices& choices);

} // namespace Explorer
