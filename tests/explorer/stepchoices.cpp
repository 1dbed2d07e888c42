#include "stepchoices.h"

namespace Explorer {

unsigned choose(StepChoices& fates, unsigned width)
{
    if (fates.position == fates.chosen.size()) {
        fates.chosen.push_back(0);
        fates.optionCounts.push_back(static_cast<std::uint8_t>(width));
    }
    return fates.chosen[fates.position++];
}

bool nextCombination(StepChoices& fates)
{
    fates.position = 0;
    fates.linkStates.clear();
    while (!fates.chosen.empty()) {
        if (fates.chosen.back() + 1U < fates.optionCounts.back()) {
            ++fates.chosen.back();
            return true;
        }
        fates.chosen.pop_back();
        fates.optionCounts.pop_back();
    }
    return false;
}

} // namespace Explorer
