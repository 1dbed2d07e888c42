#include "grantsimulation.h"

#include <granting/grantingconstants.h>

#include <algorithm>
#include <deque>
#include <functional>

namespace GrantTest {

using namespace Granting;
using namespace std::chrono_literals;

namespace {

constexpr unsigned vmCount = 2;
constexpr unsigned upstreamCount = 3;
constexpr Utils::Duration step = 20ms;
constexpr Utils::Duration longestHold = 10s;

struct Event {
    Utils::Instant at;
    std::function<void()> run;
};

struct Hold {
    Routing::KeySpan span;
    std::uint64_t token = 0;
    Utils::Instant until;
};

struct Upstream {
    std::vector<Hold> holds;
    /// Highest token seen, for each half of the keys.
    std::map<std::uint16_t, std::uint64_t> seen;
    bool cut = false;
};

struct Vm {
    Leadership leadership;
    std::optional<Granter> granter;
    std::optional<Utils::Offset> recordEnd;
    bool prepared = false;
    bool busy = false;
    Utils::Instant pausedUntil {};
    Utils::Instant thawed {};
};

struct World {
    explicit World(std::uint64_t seed, const Guards& guards)
        : random(seed)
        , guards(guards)
        , vms(vmCount)
        , upstreams(upstreamCount)
    {
    }

    std::mt19937_64 random;
    Guards guards;
    Utils::Instant now { 1000s };
    std::vector<Event> events;
    std::vector<Vm> vms;
    std::vector<Upstream> upstreams;
    std::vector<LeaderRecord> leaders;
    std::vector<KeyAssignment> records;
    bool storeDown = false;
    std::map<std::uint16_t, std::uint64_t> highest;
    std::map<std::uint16_t, unsigned> highestBy;
    Outcome outcome;
    /// What happened last, for the report of a fault.
    std::deque<std::string> trace;
};

constexpr std::size_t traceLength = 40;

void note(World& world, const std::string& what)
{
    world.trace.push_back(std::to_string(world.now.time_since_epoch() / 1ms - 1000000) + " " + what);
    if (world.trace.size() > traceLength)
        world.trace.pop_front();
}

std::string describe(const GrantAction& action)
{
    return (action.kind == GrantAction::Kind::Grant ? "grant " : "release ")
        + std::to_string(action.span.first) + "-" + std::to_string(action.span.last) + " at "
        + action.upstream.value + " token " + std::to_string(action.token) + " hold "
        + std::to_string(action.keyLease / 1ms);
}

bool chance(World& world, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random) < probability;
}

Utils::Duration between(World& world, Utils::Duration least, Utils::Duration most)
{
    return Utils::Duration(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(world.random));
}

void later(World& world, Utils::Duration delay, std::function<void()> run)
{
    world.events.push_back({ world.now + delay, std::move(run) });
}

Utils::UpstreamId idOf(unsigned upstream) { return { std::to_string(upstream) }; }

unsigned indexOf(const Utils::UpstreamId& id) { return static_cast<unsigned>(std::stoul(id.value)); }

/// The first keys of the spans that the world moves; each is judged on its own.
constexpr std::uint16_t probes[] = { 0, 20000, 40000, 60000 };

void judge(World& world, unsigned taker, const Routing::KeySpan& span, std::uint64_t token)
{
    for (const std::uint16_t key : probes) {
        if (!Routing::contains(span, key))
            continue;
        for (unsigned other = 0; other < upstreamCount; ++other) {
            if (other == taker)
                continue;
            for (const Hold& hold : world.upstreams[other].holds) {
                if (!Routing::contains(hold.span, key) || hold.until <= world.now)
                    continue;
                ++world.outcome.overlaps;
                if (!world.outcome.firstFault.empty())
                    continue;
                world.outcome.firstFault = "key " + std::to_string(key) + " at " + std::to_string(other)
                    + " and " + std::to_string(taker);
                for (const std::string& line : world.trace)
                    world.outcome.firstFault += "\n" + line;
            }
        }
        if (world.highestBy.contains(key) && world.highestBy[key] != taker) {
            if (token <= world.highest[key])
                ++world.outcome.tokenRegressions;
            else
                ++world.outcome.moves;
        }
        if (token > world.highest[key]) {
            world.highest[key] = token;
            world.highestBy[key] = taker;
        }
    }
}

/// What an upstream does with a grant that arrived at \a arrived.
GrantOutcome applyGrant(World& world, const GrantAction& action, Utils::Instant arrived)
{
    Upstream& upstream = world.upstreams[indexOf(action.upstream)];
    for (const std::uint16_t key : probes) {
        if (Routing::contains(action.span, key) && upstream.seen[key] > action.token)
            return GrantOutcome::FencedOff;
    }
    const Utils::Instant until = arrived + action.keyLease + action.keyLease / 50;
    note(world, "taken: " + describe(action));
    if (until > world.now) {
        judge(world, indexOf(action.upstream), action.span, action.token);
        std::erase_if(upstream.holds, [&](const Hold& hold) { return hold.span == action.span; });
        upstream.holds.push_back({ action.span, action.token, until });
    }
    for (const std::uint16_t key : probes) {
        if (Routing::contains(action.span, key))
            upstream.seen[key] = std::max(upstream.seen[key], action.token);
    }
    return GrantOutcome::Accepted;
}

GrantOutcome applyRelease(World& world, const GrantAction& action)
{
    note(world, "taken: " + describe(action));
    Upstream& upstream = world.upstreams[indexOf(action.upstream)];
    std::vector<Hold> left;
    for (const Hold& hold : upstream.holds) {
        if (hold.span.last < action.span.first || hold.span.first > action.span.last) {
            left.push_back(hold);
            continue;
        }
        if (hold.span.first < action.span.first)
            left.push_back({ { hold.span.first, static_cast<std::uint16_t>(action.span.first - 1) },
                hold.token, hold.until });
        if (hold.span.last > action.span.last)
            left.push_back({ { static_cast<std::uint16_t>(action.span.last + 1), hold.span.last }, hold.token,
                hold.until });
    }
    upstream.holds = std::move(left);
    for (const std::uint16_t key : probes) {
        if (Routing::contains(action.span, key))
            upstream.seen[key] = std::max(upstream.seen[key], action.token);
    }
    return GrantOutcome::Accepted;
}

void answerVm(World& world, unsigned vm, std::uint64_t term, const GrantAction& action, GrantOutcome answer)
{
    Vm& asker = world.vms[vm];
    note(world,
        std::to_string(vm) + " hears " + std::string(Utils::enumName(grantOutcomeNames, answer)) + " of "
            + describe(action));
    if (asker.granter && asker.leadership.term == term)
        recordGrantOutcome(*asker.granter, action, answer, "", world.now);
}

void sendAction(World& world, unsigned vm, GrantAction action)
{
    const std::uint64_t term = *world.vms[vm].leadership.term;
    note(world, std::to_string(vm) + " sends " + describe(action));
    if (!world.guards.releaseRaisesToken && action.kind == GrantAction::Kind::Release)
        action.token = 0;
    const bool cut = world.upstreams[indexOf(action.upstream)].cut || chance(world, 0.05);
    if (cut) {
        later(world, 500ms,
            [&world, vm, term, action] { answerVm(world, vm, term, action, GrantOutcome::Unknown); });
        return;
    }
    const bool slow = action.kind == GrantAction::Kind::Grant && chance(world, 0.05);
    later(world, slow ? between(world, 300ms, grantTimeout) : between(world, 1ms, 40ms),
        [&world, vm, term, action] {
            const Utils::Instant arrived = world.now;
            if (action.kind == GrantAction::Kind::Grant && chance(world, 0.1)) {
                later(world, between(world, 2s, 6s),
                    [&world, action, arrived] { applyGrant(world, action, arrived); });
                later(world, 460ms,
                    [&world, vm, term, action] { answerVm(world, vm, term, action, GrantOutcome::Unknown); });
                return;
            }
            const GrantOutcome answer = action.kind == GrantAction::Kind::Grant
                ? applyGrant(world, action, arrived)
                : applyRelease(world, action);
            const bool lost = chance(world, 0.05);
            later(world, lost ? grantTimeout : between(world, 1ms, 40ms),
                [&world, vm, term, action, answer, lost] {
                    answerVm(world, vm, term, action, lost ? GrantOutcome::Unknown : answer);
                });
        });
}

void appendLease(World& world, unsigned vm)
{
    Vm& asker = world.vms[vm];
    recordAppendSent(asker.leadership, world.now);
    const Utils::Offset end = *asker.leadership.logEnd;
    const bool lost = chance(world, 0.1);
    const Utils::Duration way
        = lost && chance(world, 0.5) ? between(world, 1s, 5s) : between(world, 2ms, 300ms);
    later(world, way, [&world, vm, end, lost] {
        Vm& asker = world.vms[vm];
        const bool accepted = !world.storeDown && world.leaders.size() == end;
        if (accepted)
            world.leaders.push_back(asker.leadership.self);
        if (lost)
            return;
        later(world, 5ms, [&world, vm, end, accepted] {
            if (accepted)
                recordAppendSucceeded(world.vms[vm].leadership, end);
            else
                recordAppendRejected(world.vms[vm].leadership);
        });
    });
    if (lost)
        later(world, 700ms, [&world, vm] { recordAppendOutcomeUnknown(world.vms[vm].leadership); });
}

std::vector<KeyPlacement> randomPlan(World& world)
{
    std::vector<KeyPlacement> plan;
    const std::uint16_t ends[] = { 19999, 39999, 59999, 65535 };
    std::uint16_t first = 0;
    for (const std::uint16_t last : ends) {
        plan.push_back({ { first, last }, idOf(static_cast<unsigned>(world.random() % upstreamCount)) });
        first = static_cast<std::uint16_t>(last + 1);
    }
    return plan;
}

void writeRecord(World& world, unsigned vm)
{
    Vm& asker = world.vms[vm];
    std::optional<std::vector<KeyPlacement>> plan;
    if (asker.granter->assignment.segments.empty() || chance(world, 0.05))
        plan = randomPlan(world);
    if (!plan && !asker.granter->hasUnwrittenChanges && asker.prepared)
        return;
    const KeyAssignment record = makeNextRecord(*asker.granter, plan);
    asker.granter->hasUnwrittenChanges = false;
    asker.busy = true;
    const Utils::Offset end = *asker.recordEnd;
    const std::uint64_t term = *asker.leadership.term;
    const bool lost = chance(world, 0.1);
    later(world, lost && chance(world, 0.5) ? between(world, 1s, 5s) : between(world, 2ms, 300ms),
        [&world, vm, record, end, term, lost] {
            const bool accepted = !world.storeDown && world.records.size() == end;
            if (accepted)
                world.records.push_back(record);
            if (lost)
                return;
            later(world, 5ms, [&world, vm, record, term, accepted] {
                Vm& asker = world.vms[vm];
                if (!asker.granter || asker.leadership.term != term)
                    return;
                asker.busy = false;
                if (!accepted) {
                    asker.recordEnd.reset();
                    return;
                }
                asker.recordEnd = world.records.size();
                asker.prepared = true;
                applyWrittenRecord(*asker.granter, record);
            });
        });
    if (!lost)
        return;
    later(world, 700ms, [&world, vm, term] {
        Vm& asker = world.vms[vm];
        if (!asker.granter || asker.leadership.term != term)
            return;
        asker.busy = false;
        asker.recordEnd.reset();
    });
}

/// Reads what stands in the store, now and then as it stood a while ago.
void readRecords(World& world, unsigned vm)
{
    Vm& asker = world.vms[vm];
    if (world.storeDown)
        return;
    std::size_t end = world.records.size();
    if (end > 0 && chance(world, 0.1))
        --end;
    asker.recordEnd = end;
    if (asker.granter && asker.prepared) {
        if (end > 0) {
            asker.granter->assignment.version
                = std::max(asker.granter->assignment.version, world.records[end - 1].version);
        }
        asker.granter->hasUnwrittenChanges = true;
        return;
    }
    const Utils::Duration hold = world.guards.awaitsPreviousKeyLeases ? longestHold : Utils::Duration(0ms);
    KeyAssignment record = end > 0 ? world.records[end - 1] : KeyAssignment { { "s" }, 0, 0, {} };
    if (!world.guards.awaitsPreviousKeyLeases) {
        for (Segment& segment : record.segments)
            segment.previousHolders.clear();
    }
    asker.granter = takeOver(record, *asker.leadership.term, hold, world.now);
}

void lead(World& world, unsigned vm)
{
    Vm& asker = world.vms[vm];
    if (!asker.recordEnd)
        readRecords(world, vm);
    if (!asker.granter || !asker.recordEnd)
        return;
    if (!asker.busy)
        writeRecord(world, vm);
    if (!asker.prepared)
        return;
    const Utils::Duration hold
        = isStoreUnresponsive(asker.leadership, world.now) ? longestHold : keyLeaseDuration;
    for (const GrantAction& action : collectDueActions(*asker.granter, hold, world.now))
        sendAction(world, vm, action);
}

void tickVm(World& world, unsigned vm)
{
    Vm& asker = world.vms[vm];
    if (world.now < asker.pausedUntil)
        return;
    if (!world.storeDown && chance(world, 0.1)) {
        const std::optional<LeaderRecord> last
            = world.leaders.empty() ? std::nullopt : std::optional<LeaderRecord>(world.leaders.back());
        recordLogRead(asker.leadership, world.leaders.size(), last, world.now);
    }
    if (!asker.leadership.logEnd && !world.storeDown)
        recordLogRead(asker.leadership, world.leaders.size(),
            world.leaders.empty() ? std::nullopt : std::optional<LeaderRecord>(world.leaders.back()),
            world.now);
    if (!asker.leadership.term) {
        asker.granter.reset();
        asker.recordEnd.reset();
        asker.prepared = false;
        asker.busy = false;
    }
    if (isAppendDue(asker.leadership, vm * 0.5, world.now))
        appendLease(world, vm);
    const bool leads = world.guards.leaderLeaseExpires ? holdsLeaderLease(asker.leadership, world.now)
                                                       : asker.leadership.term.has_value();
    if (leads)
        lead(world, vm);
}

void disturb(World& world)
{
    if (chance(world, 0.002))
        world.storeDown = !world.storeDown;
    if (world.storeDown && chance(world, 0.004))
        world.storeDown = false;
    for (Upstream& upstream : world.upstreams) {
        if (chance(world, upstream.cut ? 0.01 : 0.001))
            upstream.cut = !upstream.cut;
    }
    for (Vm& vm : world.vms) {
        if (world.now >= vm.pausedUntil && chance(world, 0.001))
            vm.pausedUntil = world.now + between(world, 1s, 8s);
    }
}

void runDue(World& world)
{
    // Events may add events; those due now run in the order of their times.
    while (true) {
        const auto first = std::min_element(world.events.begin(), world.events.end(),
            [](const Event& one, const Event& other) { return one.at < other.at; });
        if (first == world.events.end() || first->at > world.now)
            return;
        const std::function<void()> run = std::move(first->run);
        world.events.erase(first);
        run();
    }
}

} // namespace

Outcome runSimulation(std::uint64_t seed, unsigned seconds, const Guards& guards)
{
    World world(seed, guards);
    for (unsigned vm = 0; vm < vmCount; ++vm)
        world.vms[vm].leadership.self
            = { { std::to_string(vm) }, vm, { "10.0.0." + std::to_string(vm), 7000 } };
    const Utils::Instant end = world.now + std::chrono::seconds(seconds);
    for (; world.now < end; world.now += step) {
        runDue(world);
        disturb(world);
        for (unsigned vm = 0; vm < vmCount; ++vm)
            tickVm(world, vm);
    }
    for (std::size_t index = 1; index < world.leaders.size(); ++index)
        world.outcome.terms += world.leaders[index].vm != world.leaders[index - 1].vm ? 1 : 0;
    return world.outcome;
}

} // namespace GrantTest
