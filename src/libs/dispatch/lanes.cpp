#include <dispatch/lanes.h>

#include <algorithm>
#include <utility>

namespace Dispatch::Internal {

namespace {

/// The caller's queue, which is about to hold a work. A caller that had none starts level with the others.
CallerQueue& queueOf(Lane& lane, const std::string& caller)
{
    CallerQueue& queue = lane.callers[caller];
    if (!queue.works.empty())
        return queue;
    queue.used = std::max(queue.used, lane.virtualTime);
    lane.order.emplace(queue.used, caller);
    return queue;
}

void charge(Lane& lane, const std::string& caller, CallerQueue& queue, Utils::Duration time)
{
    const bool isOrdered = lane.order.erase({ queue.used, caller }) > 0;
    queue.used += time;
    if (isOrdered)
        lane.order.emplace(queue.used, caller);
}

void dropIfIdle(Lane& lane, const std::string& caller)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (!found->second.works.empty())
        return;
    lane.order.erase({ found->second.used, caller });
    if (found->second.running == 0)
        lane.callers.erase(found);
}

} // namespace

void pushBack(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    queueOf(lane, caller).works.push_back(work);
    ++lane.size;
}

void pushFront(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    queueOf(lane, caller).works.push_front(work);
    ++lane.size;
}

Requests::WorkId nextOf(const Lane& lane)
{
    return lane.callers.at(lane.order.begin()->second).works.front();
}

void popNext(Lane& lane, Utils::Duration time)
{
    const std::string caller = lane.order.begin()->second;
    lane.virtualTime = std::max(lane.virtualTime, lane.order.begin()->first);
    CallerQueue& queue = lane.callers.at(caller);
    queue.works.pop_front();
    ++queue.running;
    --lane.size;
    charge(lane, caller, queue, time);
    dropIfIdle(lane, caller);
}

void eraseFrom(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    std::deque<Requests::WorkId>& works = lane.callers.at(caller).works;
    works.erase(std::find(works.begin(), works.end(), work));
    --lane.size;
    dropIfIdle(lane, caller);
}

void settleCaller(Lane& lane, const std::string& caller, Utils::Duration correction)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (found == lane.callers.end() || found->second.running == 0)
        return;
    --found->second.running;
    charge(lane, caller, found->second, correction);
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
