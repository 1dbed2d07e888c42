#include <balancing/intakebudget.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

std::uint64_t waitingBytes(const IntakeBudget& budget)
{
    std::uint64_t bytes = 0;
    for (const IntakeBudget::Waiting& waiting : budget.waiting)
        bytes += waiting.bytes;
    return bytes;
}

} // namespace Internal

IntakeDecision requestIntake(IntakeBudget& budget, std::uint64_t id, std::uint64_t bytes)
{
    const std::uint64_t reserve = bytes <= smallBodyBytes ? budget.limitBytes / smallBodyReserveDivisor : 0;
    const bool mustWait = bytes > smallBodyBytes && !budget.waiting.empty();
    if (!mustWait && budget.usedBytes + bytes <= budget.limitBytes + reserve) {
        budget.usedBytes += bytes;
        return IntakeDecision::Admitted;
    }
    if (bytes <= smallBodyBytes || Internal::waitingBytes(budget) + bytes > budget.limitBytes)
        return IntakeDecision::Rejected;
    budget.waiting.push_back({ id, bytes });
    return IntakeDecision::Waits;
}

bool extendIntake(IntakeBudget& budget, std::uint64_t bytes)
{
    if (budget.usedBytes + bytes > budget.limitBytes)
        return false;
    budget.usedBytes += bytes;
    return true;
}

void releaseIntake(IntakeBudget& budget, std::uint64_t bytes)
{
    budget.usedBytes -= std::min(budget.usedBytes, bytes);
}

std::optional<std::uint64_t> admitNext(IntakeBudget& budget)
{
    if (budget.waiting.empty() || budget.usedBytes + budget.waiting.front().bytes > budget.limitBytes)
        return std::nullopt;
    const IntakeBudget::Waiting next = budget.waiting.front();
    budget.waiting.pop_front();
    budget.usedBytes += next.bytes;
    return next.id;
}

void cancelWaiting(IntakeBudget& budget, std::uint64_t id)
{
    std::erase_if(budget.waiting, [id](const IntakeBudget::Waiting& waiting) { return waiting.id == id; });
}

} // namespace Balancing
