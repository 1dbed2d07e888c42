#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Explorer {

/// The open choices of one step, such as which message is lost. A step is run again and again until every
/// combination was had.
struct Fates {
    std::vector<std::uint8_t> chosen;
    std::vector<std::uint8_t> widths;
    std::size_t position = 0;
    /// Fate of each link within the step, by sender and receiver.
    std::map<std::array<std::size_t, 3>, unsigned> links;
};

/// One of \a width possibilities: the one that this run has to take.
unsigned choose(Fates& fates, unsigned width);

/// Goes on to the next combination; false after the last.
bool nextCombination(Fates& fates);

} // namespace Explorer
