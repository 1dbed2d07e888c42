#include "stepchoices.h"

namespace Explorer {

unsigned choose(StepChoices& choices, unsigned width)
{
    if (choices.position == choices.chosen.size()) {
        choices.chosen.push_back(0);
        choices.optionCounts.push_back(static_cast<std::uint8_t>(width));
    }
    return choices.chosen[choices.position++];
}

bool nextCombination(StepChoices& choices)
{
    choices.position = 0;
    choices.linkStates.clear();
    while (!choices.chosen.empty()) {
        if (choices.chosen.back() + 1U < choices.optionCounts.back()) {
            ++choices.chosen.back();
            return true;
        }
        choices.chosen.pop_back();
        choices.optionCounts.pop_back();
    }
    return false;
}

} // namespace Explorer
