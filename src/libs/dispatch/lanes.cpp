#include <dispatch/lanes.h>

#include <algorithm>
#include <utility>

namespace Dispatch::Internal {

namespace {

CallerQueue& queueOf(Lane& lane, const std::string& caller)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (found != lane.callers.end())
        return found->second;
    CallerQueue& queue = lane.callers[caller];
    queue.used = lane.virtualTime;
    lane.order.emplace(queue.used, caller);
    return queue;
}

void dropIfEmpty(Lane& lane, const std::string& caller)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (!found->second.works.empty())
        return;
    lane.order.erase({ found->second.used, caller });
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

void popNext(Lane& lane, Utils::Duration charge)
{
    const std::string caller = lane.order.begin()->second;
    lane.virtualTime = std::max(lane.virtualTime, lane.order.begin()->first);
    lane.callers.at(caller).works.pop_front();
    --lane.size;
    chargeCaller(lane, caller, charge);
    dropIfEmpty(lane, caller);
}

void eraseFrom(Lane& lane, const std::string& caller, Requests::WorkId work)
{
    std::deque<Requests::WorkId>& works = lane.callers.at(caller).works;
    works.erase(std::find(works.begin(), works.end(), work));
    --lane.size;
    dropIfEmpty(lane, caller);
}

void chargeCaller(Lane& lane, const std::string& caller, Utils::Duration charge)
{
    const std::map<std::string, CallerQueue>::iterator found = lane.callers.find(caller);
    if (found == lane.callers.end())
        return;
    lane.order.erase({ found->second.used, caller });
    found->second.used += charge;
    lane.order.emplace(found->second.used, caller);
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
