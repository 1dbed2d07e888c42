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

/// How a state was first reached.
struct Origin {
    std::uint32_t parent = 0;
    Event event;
    std::vector<std::uint8_t> fates;
};

struct Pending {
    SystemState world;
    std::uint32_t index = 0;
};

struct Search {
    VmTable table;
    std::unordered_set<Digest, DigestHash> seen;
    std::vector<Origin> origins;
};

/// The world after \a event, in canonical form.
SystemState after(const Instance& instance, const SystemState& before, const Event& event, StepChoices& fates,
    VmTable& table, std::vector<std::string>* trace = nullptr)
{
    SystemState next = before;
    applyEvent(instance, next, event, fates, trace);
    if (event.kind == EventKind::AdvanceClock)
        advanceTick(next, event.index);
    canonicalise(instance, next, table);
    recordRequestsInFlight(instance, next);
    if (!instance.checksGrants)
        canonicalise(instance, next, table);
    return next;
}

/// The world after all was well for a while.
SystemState firstWorld(const Instance& instance, VmTable& table)
{
    SystemState world = makeInitialState(instance);
    canonicalise(instance, world, table);
    for (const std::size_t vm : instance.initialReaders) {
        StepChoices fates;
        world = after(instance, world, { EventKind::ReadLog, vm }, fates, table);
    }
    return world;
}

std::vector<std::string> traceTo(const Instance& instance, const Search& search, std::uint32_t index)
{
    std::vector<std::uint32_t> path;
    for (std::uint32_t at = index; at != 0; at = search.origins[at].parent)
        path.push_back(at);
    std::reverse(path.begin(), path.end());
    VmTable table;
    SystemState world = firstWorld(instance, table);
    std::vector<std::string> lines;
    for (const std::uint32_t at : path) {
        StepChoices fates;
        fates.chosen = search.origins[at].fates;
        world = after(instance, world, search.origins[at].event, fates, table, &lines);
    }
    return lines;
}

/// Adds the world if it is new; its index among the states then.
std::optional<std::uint32_t> enter(Search& search, const SystemState& world, std::uint32_t parent,
    const Event& event, const std::vector<std::uint8_t>& fates)
{
    if (!search.seen.insert(computeSystemDigest(world)).second)
        return std::nullopt;
    search.origins.push_back({ parent, event, fates });
    return static_cast<std::uint32_t>(search.origins.size() - 1);
}

/// The worlds still to be looked at: those of this tick, and those of the next.
struct Queues {
    std::deque<Pending> current;
    std::deque<Pending> following;
};

/// Runs \a event with every combination of fates; true when a promise is broken.
bool exploreEvent(const Instance& instance, const Pending& pending, const Event& event, Search& search,
    Queues& queues, SearchResult& result)
{
    StepChoices fates;
    do {
        ++result.steps;
        SystemState next = after(instance, pending.world, event, fates, search.table);
        const std::optional<std::uint32_t> index = enter(search, next, pending.index, event, fates.chosen);
        if (!index.has_value())
            continue;
        const std::optional<std::string> broken = findViolation(instance, next);
        if (broken.has_value()) {
            result.violation = *broken;
            result.trace = traceTo(instance, search, *index);
            return true;
        }
        std::deque<Pending>& queue
            = event.kind == EventKind::AdvanceClock ? queues.following : queues.current;
        queue.push_back({ std::move(next), *index });
    } while (nextCombination(fates));
    return false;
}

/// Runs one tick to its end; true when the search is over.
bool exploreTick(
    const Instance& instance, std::size_t maxStates, Search& search, Queues& queues, SearchResult& result)
{
    while (!queues.current.empty()) {
        const Pending pending = std::move(queues.current.front());
        queues.current.pop_front();
        for (const Event& event : possibleEvents(instance, pending.world)) {
            if (exploreEvent(instance, pending, event, search, queues, result))
                return true;
        }
        if (search.origins.size() >= maxStates)
            return true;
    }
    return false;
}

} // namespace

SearchResult explore(const Instance& instance, std::size_t maxStates)
{
    SearchResult result;
    Search search;
    const SystemState first = firstWorld(instance, search.table);
    enter(search, first, 0, Event(), {});
    Queues queues;
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
    result.states = search.origins.size();
    result.isComplete = !over;
    result.isStateSpaceExhausted = !over && queues.current.empty();
    return result;
}

} // namespace Explorer
