#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Explorer {

/// The open choices of one step, such as which message is lost. A step is run again and again until every
/// combination was had.
struct StepChoices {
    std::vector<std::uint8_t> chosen;
    std::vector<std::uint8_t> optionCounts;
    std::size_t position = 0;
    /// Fate of each link within the step, by sender and receiver.
    std::map<std::array<std::size_t, 3>, unsigned> linkStates;
};

/// One of \a width possibilities: the one that this run has to take.
unsigned choose(StepChoices& fates, unsigned width);

/// Goes on to the next combination; false after the last.
bool nextCombination(StepChoices& fates);

} // namespace Explorer
