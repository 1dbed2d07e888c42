#include "fates.h"

namespace Explorer {

unsigned choose(Fates& fates, unsigned width)
{
    if (fates.position == fates.chosen.size()) {
        fates.chosen.push_back(0);
        fates.widths.push_back(static_cast<std::uint8_t>(width));
    }
    return fates.chosen[fates.position++];
}

bool nextCombination(Fates& fates)
{
    fates.position = 0;
    fates.links.clear();
    while (!fates.chosen.empty()) {
        if (fates.chosen.back() + 1U < fates.widths.back()) {
            ++fates.chosen.back();
            return true;
        }
        fates.chosen.pop_back();
        fates.widths.pop_back();
    }
    return false;
}

} // namespace Explorer
