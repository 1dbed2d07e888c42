#include "perentry.h"

namespace Measure {

namespace {

constexpr unsigned sentAtATime = 1;
constexpr std::size_t maxQueued = 64;

/// Takes the first work of the most urgent rank out; the queues must not be empty.
Requests::Work takeFirst(std::map<unsigned, std::deque<Requests::Work>>& queues)
{
    const std::map<unsigned, std::deque<Requests::Work>>::iterator first = queues.begin();
    Requests::Work work = first->second.front();
    first->second.pop_front();
    if (first->second.empty())
        queues.erase(first);
    return work;
}

void start(EntryQueues& entry, unsigned upstream, Utils::Instant now, std::vector<Dispatch::Action>& actions)
{
    while (!entry.queues.at(upstream).empty() && entry.running.at(upstream) < sentAtATime) {
        const Requests::Work work = takeFirst(entry.queues.at(upstream));
        if (work.deadline <= now) {
            actions.emplace_back(Dispatch::AnswerWork { work.id, Requests::Reason::DeadlinePassed, {} });
            continue;
        }
        ++entry.running.at(upstream);
        actions.emplace_back(Dispatch::StartWork { work.id, upstreamName(upstream) });
    }
}

} // namespace

std::vector<Dispatch::Action> submitTo(
    PerEntry& state, unsigned entry, unsigned order, const Requests::Work& work, Utils::Instant now)
{
    EntryQueues& queues = state.entries.at(entry);
    const unsigned upstream = numberOf(work.shard.value);
    std::deque<Requests::Work>& queue = queues.queues.at(upstream)[order];
    if (queue.size() >= maxQueued)
        return { Dispatch::AnswerWork { work.id, Requests::Reason::QueueFull, {} } };
    queue.push_back(work);
    std::vector<Dispatch::Action> actions;
    start(queues, upstream, now, actions);
    return actions;
}

std::vector<Dispatch::Action> finishedIn(
    PerEntry& state, unsigned entry, unsigned upstream, Utils::Instant now)
{
    --state.entries.at(entry).running.at(upstream);
    std::vector<Dispatch::Action> actions;
    start(state.entries.at(entry), upstream, now, actions);
    return actions;
}

} // namespace Measure
