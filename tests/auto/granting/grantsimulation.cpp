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
constexpr Utils::Duration tickInterval = 20ms;
constexpr Utils::Duration maxKeyLease = 10s;

struct Event {
    Utils::Instant at;
    std::function<void()> run;
};

struct KeyLease {
    Routing::KeySpan span;
    std::uint64_t token = 0;
    Utils::Instant expiry;
};

struct Upstream {
    /// Number of starts of the process, and when the last one was or will be.
    unsigned starts = 0;
    Utils::Instant startedAt {};
    std::vector<KeyLease> leases;
    /// Highest token seen, by probe key.
    std::map<std::uint16_t, std::uint64_t> highestSeenTokens;
    bool isPartitioned = false;
};

struct Vm {
    Leadership leadership;
    std::optional<Granter> granter;
    std::optional<Utils::Offset> recordEnd;
    bool hasWrittenRecord = false;
    bool isWritingRecord = false;
    Utils::Instant pausedUntil {};
    Utils::Instant thawed {};
};

struct Simulation {
    explicit Simulation(std::uint64_t seed, const Guards& guards)
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
    bool isStoreDown = false;
    unsigned restarts = 0;
    std::map<std::uint16_t, std::uint64_t> highestTokens;
    std::map<std::uint16_t, unsigned> highestTokenHolders;
    Outcome outcome;
    /// The last events, for the report of a fault.
    std::deque<std::string> trace;
};

constexpr std::size_t traceLength = 40;

void addToTrace(Simulation& simulation, const std::string& text)
{
    simulation.trace.push_back(
        std::to_string(simulation.now.time_since_epoch() / 1ms - 1000000) + " " + text);
    if (simulation.trace.size() > traceLength)
        simulation.trace.pop_front();
}

std::string describe(const GrantAction& action)
{
    return (action.kind == GrantAction::Kind::Grant ? "grant " : "release ")
        + std::to_string(action.span.first) + "-" + std::to_string(action.span.last) + " at "
        + action.upstream.value + " token " + std::to_string(action.token) + " key lease "
        + std::to_string(action.keyLease / 1ms);
}

bool happens(Simulation& simulation, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random) < probability;
}

Utils::Duration randomDuration(Simulation& simulation, Utils::Duration min, Utils::Duration max)
{
    return Utils::Duration(
        std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(simulation.random));
}

void schedule(Simulation& simulation, Utils::Duration delay, std::function<void()> run)
{
    simulation.events.push_back({ simulation.now + delay, std::move(run) });
}

Utils::UpstreamId upstreamId(unsigned upstream) { return { std::to_string(upstream) }; }

unsigned upstreamIndex(const Utils::UpstreamId& id) { return static_cast<unsigned>(std::stoul(id.value)); }

/// The first keys of the spans that the simulation moves. Each is checked separately.
constexpr std::uint16_t probeKeys[] = { 0, 20000, 40000, 60000 };

/// Records that \a holder holds \a span from now on, and counts violations of exclusive holding.
void recordHolder(Simulation& simulation, unsigned holder, const Routing::KeySpan& span, std::uint64_t token)
{
    for (const std::uint16_t key : probeKeys) {
        if (!Routing::contains(span, key))
            continue;
        for (unsigned other = 0; other < upstreamCount; ++other) {
            if (other == holder)
                continue;
            for (const KeyLease& lease : simulation.upstreams[other].leases) {
                if (!Routing::contains(lease.span, key) || lease.expiry <= simulation.now)
                    continue;
                ++simulation.outcome.overlaps;
                if (!simulation.outcome.firstFault.empty())
                    continue;
                simulation.outcome.firstFault = "key " + std::to_string(key) + " at " + std::to_string(other)
                    + " and " + std::to_string(holder);
                for (const std::string& line : simulation.trace)
                    simulation.outcome.firstFault += "\n" + line;
            }
        }
        if (simulation.highestTokenHolders.contains(key) && simulation.highestTokenHolders[key] != holder) {
            if (token <= simulation.highestTokens[key])
                ++simulation.outcome.tokenRegressions;
            else
                ++simulation.outcome.moves;
        }
        if (token > simulation.highestTokens[key]) {
            simulation.highestTokens[key] = token;
            simulation.highestTokenHolders[key] = holder;
        }
    }
}

/// Applies a grant that arrived at the upstream at \a arrived.
GrantOutcome applyGrant(Simulation& simulation, const GrantAction& action, Utils::Instant arrived)
{
    Upstream& upstream = simulation.upstreams[upstreamIndex(action.upstream)];
    for (const std::uint16_t key : probeKeys) {
        if (Routing::contains(action.span, key) && upstream.highestSeenTokens[key] > action.token)
            return GrantOutcome::FencedOff;
    }
    const Utils::Instant expiry = arrived + action.keyLease + action.keyLease / 50;
    addToTrace(simulation, "applied: " + describe(action));
    if (expiry > simulation.now) {
        recordHolder(simulation, upstreamIndex(action.upstream), action.span, action.token);
        std::erase_if(upstream.leases, [&](const KeyLease& lease) { return lease.span == action.span; });
        upstream.leases.push_back({ action.span, action.token, expiry });
    }
    for (const std::uint16_t key : probeKeys) {
        if (Routing::contains(action.span, key))
            upstream.highestSeenTokens[key] = std::max(upstream.highestSeenTokens[key], action.token);
    }
    return GrantOutcome::Accepted;
}

GrantOutcome applyRelease(Simulation& simulation, const GrantAction& action)
{
    addToTrace(simulation, "applied: " + describe(action));
    Upstream& upstream = simulation.upstreams[upstreamIndex(action.upstream)];
    std::vector<KeyLease> remaining;
    for (const KeyLease& lease : upstream.leases) {
        if (lease.span.last < action.span.first || lease.span.first > action.span.last) {
            remaining.push_back(lease);
            continue;
        }
        if (lease.span.first < action.span.first)
            remaining.push_back({ { lease.span.first, static_cast<std::uint16_t>(action.span.first - 1) },
                lease.token, lease.expiry });
        if (lease.span.last > action.span.last)
            remaining.push_back({ { static_cast<std::uint16_t>(action.span.last + 1), lease.span.last },
                lease.token, lease.expiry });
    }
    upstream.leases = std::move(remaining);
    for (const std::uint16_t key : probeKeys) {
        if (Routing::contains(action.span, key) && simulation.guards.releaseRaisesToken)
            upstream.highestSeenTokens[key] = std::max(upstream.highestSeenTokens[key], action.token);
    }
    return GrantOutcome::Accepted;
}

void deliverOutcome(Simulation& simulation, unsigned vm, std::uint64_t term, const GrantAction& action,
    GrantOutcome grantOutcome)
{
    Vm& state = simulation.vms[vm];
    addToTrace(simulation,
        std::to_string(vm) + " receives " + std::string(Utils::enumName(grantOutcomeNames, grantOutcome))
            + " for " + describe(action));
    if (state.granter && state.leadership.term == term)
        recordGrantOutcome(*state.granter, action, grantOutcome, "", simulation.now);
}

/// Whether the process that a call was sent to still runs.
bool isRunning(const Simulation& simulation, unsigned upstream, unsigned starts)
{
    const Upstream& state = simulation.upstreams[upstream];
    return state.starts == starts && state.startedAt <= simulation.now;
}

/// Time from the arrival of a release to its response: the requests that run on the keys end first.
Utils::Duration releaseDuration(Simulation& simulation)
{
    return happens(simulation, 0.3) ? randomDuration(simulation, 200ms, 2900ms)
                                    : randomDuration(simulation, 1ms, 40ms);
}

void sendAction(Simulation& simulation, unsigned vm, std::uint64_t term, const GrantAction& action)
{
    addToTrace(simulation, std::to_string(vm) + " sends " + describe(action));
    const bool isUnreachable
        = simulation.upstreams[upstreamIndex(action.upstream)].isPartitioned || happens(simulation, 0.05);
    if (isUnreachable) {
        schedule(simulation, 500ms, [&simulation, vm, term, action] {
            deliverOutcome(simulation, vm, term, action, GrantOutcome::Unknown);
        });
        return;
    }
    const bool isSlow = action.kind == GrantAction::Kind::Grant && happens(simulation, 0.05);
    schedule(simulation,
        isSlow ? randomDuration(simulation, 300ms, grantTimeout) : randomDuration(simulation, 1ms, 40ms),
        [&simulation, vm, term, action] {
            const Utils::Instant arrived = simulation.now;
            const unsigned upstream = upstreamIndex(action.upstream);
            const unsigned starts = simulation.upstreams[upstream].starts;
            if (!isRunning(simulation, upstream, starts)) {
                deliverOutcome(simulation, vm, term, action, GrantOutcome::ConnectionRefused);
                return;
            }
            if (action.kind == GrantAction::Kind::Grant && happens(simulation, 0.1)) {
                schedule(simulation, randomDuration(simulation, 2s, 6s),
                    [&simulation, action, arrived, upstream, starts] {
                        if (isRunning(simulation, upstream, starts))
                            applyGrant(simulation, action, arrived);
                    });
                schedule(simulation, 460ms, [&simulation, vm, term, action] {
                    deliverOutcome(simulation, vm, term, action, GrantOutcome::Unknown);
                });
                return;
            }
            const GrantOutcome grantOutcome = action.kind == GrantAction::Kind::Grant
                ? applyGrant(simulation, action, arrived)
                : applyRelease(simulation, action);
            const bool isResponseLost = happens(simulation, 0.05);
            const Utils::Duration duration = action.kind == GrantAction::Kind::Release
                ? releaseDuration(simulation)
                : randomDuration(simulation, 1ms, 40ms);
            schedule(simulation, isResponseLost ? grantTimeout : duration,
                [&simulation, vm, term, action, grantOutcome, isResponseLost] {
                    deliverOutcome(
                        simulation, vm, term, action, isResponseLost ? GrantOutcome::Unknown : grantOutcome);
                });
        });
}

void appendLease(Simulation& simulation, unsigned vm)
{
    Vm& state = simulation.vms[vm];
    recordAppendSent(state.leadership, simulation.now);
    const Utils::Offset end = *state.leadership.logEnd;
    const bool isResponseLost = happens(simulation, 0.1);
    const Utils::Duration delay = isResponseLost && happens(simulation, 0.5)
        ? randomDuration(simulation, 1s, 5s)
        : randomDuration(simulation, 2ms, 300ms);
    schedule(simulation, delay, [&simulation, vm, end, isResponseLost] {
        Vm& state = simulation.vms[vm];
        const bool isAccepted = !simulation.isStoreDown && simulation.leaders.size() == end;
        if (isAccepted)
            simulation.leaders.push_back(state.leadership.self);
        if (isResponseLost)
            return;
        schedule(simulation, 5ms, [&simulation, vm, end, isAccepted] {
            if (isAccepted)
                recordAppendSucceeded(simulation.vms[vm].leadership, end);
            else
                recordAppendRejected(simulation.vms[vm].leadership);
        });
    });
    if (isResponseLost)
        schedule(simulation, 700ms,
            [&simulation, vm] { recordAppendOutcomeUnknown(simulation.vms[vm].leadership); });
}

std::vector<KeyPlacement> randomPlan(Simulation& simulation)
{
    std::vector<KeyPlacement> plan;
    const std::uint16_t ends[] = { 19999, 39999, 59999, 65535 };
    std::uint16_t first = 0;
    for (const std::uint16_t last : ends) {
        const Utils::UpstreamId holder
            = upstreamId(static_cast<unsigned>(simulation.random() % upstreamCount));
        if (!plan.empty() && plan.back().holder == holder)
            plan.back().span.last = last;
        else
            plan.push_back({ { first, last }, holder });
        first = static_cast<std::uint16_t>(last + 1);
    }
    return plan;
}

void writeRecord(Simulation& simulation, unsigned vm)
{
    Vm& state = simulation.vms[vm];
    std::optional<std::vector<KeyPlacement>> plan;
    if (state.granter->assignment.segments.empty() || happens(simulation, 0.05))
        plan = randomPlan(simulation);
    if (!plan && !state.granter->hasUnwrittenChanges && state.hasWrittenRecord)
        return;
    const KeyAssignment record = makeNextRecord(*state.granter, plan);
    state.granter->hasUnwrittenChanges = false;
    state.isWritingRecord = true;
    const Utils::Offset end = *state.recordEnd;
    const std::uint64_t term = *state.leadership.term;
    const bool isResponseLost = happens(simulation, 0.1);
    schedule(simulation,
        isResponseLost && happens(simulation, 0.5) ? randomDuration(simulation, 1s, 5s)
                                                   : randomDuration(simulation, 2ms, 300ms),
        [&simulation, vm, record, end, term, isResponseLost] {
            const bool isAccepted = !simulation.isStoreDown && simulation.records.size() == end;
            if (isAccepted)
                simulation.records.push_back(record);
            if (isResponseLost)
                return;
            schedule(simulation, 5ms, [&simulation, vm, record, term, isAccepted] {
                Vm& state = simulation.vms[vm];
                if (!state.granter || state.leadership.term != term)
                    return;
                state.isWritingRecord = false;
                if (!isAccepted) {
                    state.recordEnd.reset();
                    return;
                }
                state.recordEnd = simulation.records.size();
                state.hasWrittenRecord = true;
                applyWrittenRecord(*state.granter, record);
            });
        });
    if (!isResponseLost)
        return;
    schedule(simulation, 700ms, [&simulation, vm, term] {
        Vm& state = simulation.vms[vm];
        if (!state.granter || state.leadership.term != term)
            return;
        state.isWritingRecord = false;
        state.recordEnd.reset();
    });
}

/// Reads the newest record from the store, occasionally a stale one.
void readRecords(Simulation& simulation, unsigned vm)
{
    Vm& state = simulation.vms[vm];
    if (simulation.isStoreDown)
        return;
    std::size_t end = simulation.records.size();
    if (end > 0 && happens(simulation, 0.1))
        --end;
    state.recordEnd = end;
    if (state.granter && state.hasWrittenRecord) {
        if (end > 0) {
            state.granter->assignment.version
                = std::max(state.granter->assignment.version, simulation.records[end - 1].version);
        }
        state.granter->hasUnwrittenChanges = true;
        return;
    }
    const Utils::Duration keyLease
        = simulation.guards.awaitsPreviousKeyLeases ? maxKeyLease : Utils::Duration(0ms);
    KeyAssignment record = end > 0 ? simulation.records[end - 1] : KeyAssignment { { "s" }, 0, 0, {} };
    if (!simulation.guards.awaitsPreviousKeyLeases) {
        for (Segment& segment : record.segments)
            segment.previousHolders.clear();
    }
    state.granter = takeOver(record, *state.leadership.term, keyLease, simulation.now);
}

void actAsLeader(Simulation& simulation, unsigned vm)
{
    Vm& state = simulation.vms[vm];
    if (!state.recordEnd)
        readRecords(simulation, vm);
    if (!state.granter || !state.recordEnd)
        return;
    if (!state.isWritingRecord)
        writeRecord(simulation, vm);
    if (!state.hasWrittenRecord)
        return;
    const Utils::Duration keyLease
        = isStoreUnresponsive(state.leadership, simulation.now) ? maxKeyLease : keyLeaseDuration;
    const std::uint64_t term = *state.leadership.term;
    // A slow VM sends its calls long after it has decided on them.
    const Utils::Duration delay
        = happens(simulation, 0.02) ? randomDuration(simulation, 50ms, 800ms) : Utils::Duration(0ms);
    for (const GrantAction& action : collectDueActions(*state.granter, keyLease, simulation.now)) {
        if (delay == Utils::Duration(0ms))
            sendAction(simulation, vm, term, action);
        else
            schedule(simulation, delay,
                [&simulation, vm, term, action] { sendAction(simulation, vm, term, action); });
    }
}

void tickVm(Simulation& simulation, unsigned vm)
{
    Vm& state = simulation.vms[vm];
    if (simulation.now < state.pausedUntil)
        return;
    if (!simulation.isStoreDown && happens(simulation, 0.1)) {
        const std::optional<LeaderRecord> last = simulation.leaders.empty()
            ? std::nullopt
            : std::optional<LeaderRecord>(simulation.leaders.back());
        recordLogRead(state.leadership, simulation.leaders.size(), last, simulation.now);
    }
    if (!state.leadership.logEnd && !simulation.isStoreDown)
        recordLogRead(state.leadership, simulation.leaders.size(),
            simulation.leaders.empty() ? std::nullopt
                                       : std::optional<LeaderRecord>(simulation.leaders.back()),
            simulation.now);
    if (!state.leadership.term) {
        state.granter.reset();
        state.recordEnd.reset();
        state.hasWrittenRecord = false;
        state.isWritingRecord = false;
    }
    if (isAppendDue(state.leadership, vm * 0.5, simulation.now))
        appendLease(simulation, vm);
    const bool isLeader = simulation.guards.leaderLeaseExpires
        ? holdsLeaderLease(state.leadership, simulation.now)
        : state.leadership.term.has_value();
    if (isLeader)
        actAsLeader(simulation, vm);
}

/// Ends the process of \a upstream and starts it again under its id. Each VM learns of the restart later, an
/// upstream that is cut off from the store much later.
void restartUpstream(Simulation& simulation, unsigned upstream)
{
    Upstream& state = simulation.upstreams[upstream];
    ++simulation.restarts;
    ++state.starts;
    state.startedAt = simulation.now + randomDuration(simulation, 10ms, 3s);
    state.leases.clear();
    state.highestSeenTokens.clear();
    addToTrace(simulation, "restart of " + upstreamId(upstream).value);
    const Utils::Duration untilStart = state.startedAt - simulation.now;
    const Utils::Duration untilReport = happens(simulation, 0.5) ? randomDuration(simulation, 0ms, 6s)
                                                                 : randomDuration(simulation, 0ms, 300ms);
    for (unsigned vm = 0; vm < vmCount; ++vm) {
        schedule(simulation, untilStart + untilReport + randomDuration(simulation, 0ms, 300ms),
            [&simulation, vm, upstream] {
                addToTrace(simulation,
                    std::to_string(vm) + " learns of the restart of " + upstreamId(upstream).value);
                if (simulation.vms[vm].granter)
                    recordRestart(*simulation.vms[vm].granter, upstreamId(upstream));
            });
    }
}

void injectFaults(Simulation& simulation)
{
    for (unsigned upstream = 0; upstream < upstreamCount; ++upstream) {
        const bool isUp = simulation.upstreams[upstream].startedAt <= simulation.now;
        if (isUp && happens(simulation, 0.001))
            restartUpstream(simulation, upstream);
    }
    if (happens(simulation, 0.002))
        simulation.isStoreDown = !simulation.isStoreDown;
    if (simulation.isStoreDown && happens(simulation, 0.004))
        simulation.isStoreDown = false;
    for (Upstream& upstream : simulation.upstreams) {
        if (happens(simulation, upstream.isPartitioned ? 0.01 : 0.001))
            upstream.isPartitioned = !upstream.isPartitioned;
    }
    for (Vm& vm : simulation.vms) {
        if (simulation.now >= vm.pausedUntil && happens(simulation, 0.001))
            vm.pausedUntil = simulation.now + randomDuration(simulation, 1s, 8s);
    }
}

void runDueEvents(Simulation& simulation)
{
    // An event may add further events, so that the next one is searched after each.
    while (true) {
        const auto first = std::min_element(simulation.events.begin(), simulation.events.end(),
            [](const Event& one, const Event& other) { return one.at < other.at; });
        if (first == simulation.events.end() || first->at > simulation.now)
            return;
        const std::function<void()> run = std::move(first->run);
        simulation.events.erase(first);
        run();
    }
}

} // namespace

Outcome runSimulation(std::uint64_t seed, unsigned seconds, const Guards& guards)
{
    Simulation simulation(seed, guards);
    for (unsigned vm = 0; vm < vmCount; ++vm)
        simulation.vms[vm].leadership.self
            = { { std::to_string(vm) }, vm, { "10.0.0." + std::to_string(vm), 7000 } };
    const Utils::Instant end = simulation.now + std::chrono::seconds(seconds);
    for (; simulation.now < end; simulation.now += tickInterval) {
        runDueEvents(simulation);
        injectFaults(simulation);
        for (unsigned vm = 0; vm < vmCount; ++vm)
            tickVm(simulation, vm);
    }
    for (std::size_t index = 1; index < simulation.leaders.size(); ++index)
        simulation.outcome.terms += simulation.leaders[index].vm != simulation.leaders[index - 1].vm ? 1 : 0;
    simulation.outcome.restarts = simulation.restarts;
    return simulation.outcome;
}

} // namespace GrantTest
