#include "simulatedgrants.h"

#include <granting/grantingconstants.h>

#include <algorithm>

namespace GrantTest {

using namespace Granting;
using namespace std::chrono_literals;

namespace {

std::string describe(const GrantAction& action)
{
    return (action.kind == GrantAction::Kind::Grant ? "grant " : "release ")
        + std::to_string(action.span.first) + "-" + std::to_string(action.span.last) + " at "
        + action.upstream.value + " token " + std::to_string(action.token) + " key lease "
        + std::to_string(action.keyLease / 1ms);
}

/// The first keys of the spans that the simulation moves. Each is checked separately.
constexpr std::uint16_t probeKeys[] = { 0, 20000, 40000, 60000 };

/// Keeps the first fault of the run with the trace.
void reportFault(Simulation& simulation, const std::string& fault)
{
    if (!simulation.outcome.firstFault.empty())
        return;
    simulation.outcome.firstFault = fault;
    for (const std::string& line : simulation.trace)
        simulation.outcome.firstFault += "\n" + line;
}

/// Records that \a holder holds \a span from now on, and counts violations of exclusive holding.
void recordHolder(Simulation& simulation, unsigned holder, const Routing::KeySpan& span, std::uint64_t token)
{
    for (const std::uint16_t key : probeKeys) {
        if (!Routing::contains(span, key))
            continue;
        for (unsigned other = 0; other < upstreamCount; ++other) {
            if (other == holder)
                continue;
            for (const SimulatedKeyLease& lease : simulation.upstreams[other].leases) {
                if (!Routing::contains(lease.span, key) || lease.expiry <= simulation.now)
                    continue;
                ++simulation.outcome.overlaps;
                reportFault(simulation,
                    "key " + std::to_string(key) + " at " + std::to_string(other) + " and "
                        + std::to_string(holder));
            }
        }
        if (simulation.highestTokenHolders.contains(key) && simulation.highestTokenHolders[key] != holder) {
            if (token <= simulation.highestTokens[key]) {
                ++simulation.outcome.tokenRegressions;
                reportFault(simulation,
                    "token " + std::to_string(token) + " for key " + std::to_string(key) + " at "
                        + std::to_string(holder) + ", not above "
                        + std::to_string(simulation.highestTokens[key]));
            } else
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
    SimulatedUpstream& upstream = simulation.upstreams[upstreamIndex(action.upstream)];
    for (const std::uint16_t key : probeKeys) {
        if (Routing::contains(action.span, key) && upstream.highestSeenTokens[key] > action.token)
            return GrantOutcome::FencedOff;
    }
    const Utils::Instant expiry = arrived + action.keyLease + action.keyLease / 50;
    addToTrace(simulation, "applied: " + describe(action));
    if (expiry > simulation.now) {
        recordHolder(simulation, upstreamIndex(action.upstream), action.span, action.token);
        std::erase_if(
            upstream.leases, [&](const SimulatedKeyLease& lease) { return lease.span == action.span; });
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
    SimulatedUpstream& upstream = simulation.upstreams[upstreamIndex(action.upstream)];
    std::vector<SimulatedKeyLease> remaining;
    for (const SimulatedKeyLease& lease : upstream.leases) {
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
    SimulatedVm& state = simulation.vms[vm];
    addToTrace(simulation,
        std::to_string(vm) + " receives " + std::string(Utils::enumName(grantOutcomeNames, grantOutcome))
            + " for " + describe(action));
    if (state.granter && state.leadership.term == term)
        recordGrantOutcome(*state.granter, action, grantOutcome, "", simulation.now);
}

/// Whether the process that a call was sent to still runs.
bool isRunning(const Simulation& simulation, unsigned upstream, unsigned starts)
{
    const SimulatedUpstream& state = simulation.upstreams[upstream];
    return state.starts == starts && state.startedAt <= simulation.now;
}

/// Time from the arrival of a release to its response: the requests that run on the keys end first.
Utils::Duration releaseDuration(Simulation& simulation)
{
    return happens(simulation, 0.3) ? randomDuration(simulation, 200ms, 2900ms)
                                    : randomDuration(simulation, 1ms, 40ms);
}

} // namespace

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

} // namespace GrantTest
