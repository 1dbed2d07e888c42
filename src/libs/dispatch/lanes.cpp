#include <dispatch/lanes.h>

#include <algorithm>
#include <utility>

namespace Dispatch::Internal {

namespace {

/// Most turns that a caller passes in a row.
constexpr int maxPassedTurns = 2;

void dropIfIdle(Lane& lane, const std::string& caller)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (found->second.works.empty() && found->second.running == 0)
        lane.callers.erase(found);
}

} // namespace

void pushBack(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    CallerQueue& queue = lane.callers[caller];
    if (queue.works.empty())
        lane.turns.push_back(caller);
    queue.works.push_back(work);
    ++lane.size;
}

void pushFront(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    CallerQueue& queue = lane.callers[caller];
    if (!queue.works.empty())
        lane.turns.erase(std::find(lane.turns.begin(), lane.turns.end(), caller));
    lane.turns.push_front(caller);
    queue.works.push_front(work);
    ++lane.size;
}

Requests::WorkId nextOf(Lane& lane, Utils::Duration quantum)
{
    for (;;) {
        const std::string caller = lane.turns.front();
        CallerQueue& queue = lane.callers.at(caller);
        queue.debt = std::min(queue.debt, maxPassedTurns * quantum);
        if (queue.debt < quantum)
            return queue.works.front();
        queue.debt -= quantum;
        lane.turns.pop_front();
        lane.turns.push_back(caller);
    }
}

void popNext(Lane& lane)
{
    const std::string caller = lane.turns.front();
    CallerQueue& queue = lane.callers.at(caller);
    queue.works.pop_front();
    ++queue.running;
    --lane.size;
    lane.turns.pop_front();
    if (!queue.works.empty())
        lane.turns.push_back(caller);
}

void eraseFrom(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    std::deque<Requests::WorkId>& works = lane.callers.at(caller).works;
    works.erase(std::find(works.begin(), works.end(), work));
    --lane.size;
    if (works.empty())
        lane.turns.erase(std::find(lane.turns.begin(), lane.turns.end(), caller));
    dropIfIdle(lane, caller);
}

void settleCaller(Lane& lane, const std::string& caller, Utils::Duration excess)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (found == lane.callers.end() || found->second.running == 0)
        return;
    --found->second.running;
    found->second.debt = std::max(found->second.debt + excess, Utils::Duration(0));
    dropIfIdle(lane, caller);
}

const std::string& longestCaller(const Lane& lane)
{
    return std::max_element(lane.callers.begin(), lane.callers.end(),
        [](const std::pair<const std::string, CallerQueue>& one,
            const std::pair<const std::string, CallerQueue>& other) {
            return one.second.works.size() < other.second.works.size();
        })
        ->first;
}

} // namespace Dispatch::Internal
