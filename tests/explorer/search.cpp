#include "search.h"

#include "canonical.h"
#include "event.h"
#include "stepchoices.h"
#include "steps.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

namespace Explorer {

namespace {

/// The step by which a state was first reached.
struct FirstStep {
    std::uint32_t parent = 0;
    Event event;
    std::vector<std::uint8_t> choices;
};

struct PendingState {
    SystemState system;
    std::uint32_t index = 0;
};

struct Search {
    VmTable table;
    std::unordered_set<Digest, DigestHash> seen;
    std::vector<FirstStep> firstSteps;
};

/// The state after \a event, in canonical form.
SystemState applyAndCanonicalise(const Instance& instance, const SystemState& before, const Event& event,
    StepChoices& choices, VmTable& table, std::vector<std::string>* trace = nullptr)
{
    SystemState next = before;
    applyEvent(instance, next, event, choices, trace);
    if (event.kind == EventKind::AdvanceClock)
        advanceTick(next, event.index);
    canonicalise(instance, next, table);
    recordRequestsInFlight(instance, next);
    if (!instance.checksGrants)
        canonicalise(instance, next, table);
    return next;
}

/// The state after the initial readers have read the first record without faults.
SystemState makeFirstState(const Instance& instance, VmTable& table)
{
    SystemState system = makeInitialState(instance);
    canonicalise(instance, system, table);
    for (const std::size_t vm : instance.initialReaders) {
        StepChoices choices;
        system = applyAndCanonicalise(instance, system, { EventKind::ReadLog, vm }, choices, table);
    }
    return system;
}

std::vector<std::string> makeTrace(const Instance& instance, const Search& search, std::uint32_t index)
{
    std::vector<std::uint32_t> path;
    for (std::uint32_t at = index; at != 0; at = search.firstSteps[at].parent)
        path.push_back(at);
    std::reverse(path.begin(), path.end());
    VmTable table;
    SystemState system = makeFirstState(instance, table);
    std::vector<std::string> lines;
    for (const std::uint32_t at : path) {
        StepChoices choices;
        choices.chosen = search.firstSteps[at].choices;
        system = applyAndCanonicalise(instance, system, search.firstSteps[at].event, choices, table, &lines);
    }
    return lines;
}

/// Adds the state if it is new and returns its index.
std::optional<std::uint32_t> addState(Search& search, const SystemState& system, std::uint32_t parent,
    const Event& event, const std::vector<std::uint8_t>& choices)
{
    if (!search.seen.insert(computeSystemDigest(system)).second)
        return std::nullopt;
    search.firstSteps.push_back({ parent, event, choices });
    return static_cast<std::uint32_t>(search.firstSteps.size() - 1);
}

/// The states to be expanded in the current tick and in the following one.
struct StateQueues {
    std::deque<PendingState> current;
    std::deque<PendingState> following;
};

/// Runs \a event with every combination of choices; returns true if a violation was found.
bool exploreEvent(const Instance& instance, const PendingState& pending, const Event& event, Search& search,
    StateQueues& queues, SearchResult& result)
{
    StepChoices choices;
    do {
        ++result.steps;
        SystemState next = applyAndCanonicalise(instance, pending.system, event, choices, search.table);
        const std::optional<std::uint32_t> index
            = addState(search, next, pending.index, event, choices.chosen);
        if (!index.has_value())
            continue;
        const std::optional<std::string> violation = findViolation(instance, next);
        if (violation.has_value()) {
            result.violation = *violation;
            result.trace = makeTrace(instance, search, *index);
            return true;
        }
        std::deque<PendingState>& queue
            = event.kind == EventKind::AdvanceClock ? queues.following : queues.current;
        queue.push_back({ std::move(next), *index });
    } while (nextCombination(choices));
    return false;
}

/// Explores one tick completely; returns true if the search is over.
bool exploreTick(const Instance& instance, std::size_t maxStates, Search& search, StateQueues& queues,
    SearchResult& result)
{
    while (!queues.current.empty()) {
        const PendingState pending = std::move(queues.current.front());
        queues.current.pop_front();
        for (const Event& event : possibleEvents(instance, pending.system)) {
            if (exploreEvent(instance, pending, event, search, queues, result))
                return true;
        }
        if (search.firstSteps.size() >= maxStates)
            return true;
    }
    return false;
}

} // namespace

SearchResult explore(const Instance& instance, std::size_t maxStates)
{
    SearchResult result;
    Search search;
    const SystemState first = makeFirstState(instance, search.table);
    addState(search, first, 0, Event(), {});
    StateQueues queues;
    queues.current.push_back({ first, 0 });
    bool over = false;
    while (!queues.current.empty() && result.ticks < instance.horizon) {
        over = exploreTick(instance, maxStates, search, queues, result);
        if (over)
            break;
        ++result.ticks;
        queues.current = std::move(queues.following);
        queues.following = {};
    }
    result.states = search.firstSteps.size();
    result.isComplete = !over;
    result.isStateSpaceExhausted = !over && queues.current.empty();
    return result;
}

} // namespace Explorer
