#include "simulatedgrants.h"
#include "simulatedleader.h"

#include <granting/grantingconstants.h>

namespace GrantTest {

using namespace Granting;
using namespace std::chrono_literals;

namespace {

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
    SimulatedVm& state = simulation.vms[vm];
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
                SimulatedVm& state = simulation.vms[vm];
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
        SimulatedVm& state = simulation.vms[vm];
        if (!state.granter || state.leadership.term != term)
            return;
        state.isWritingRecord = false;
        state.recordEnd.reset();
    });
}

/// Reads the newest record from the store, occasionally a stale one.
void readRecords(Simulation& simulation, unsigned vm)
{
    SimulatedVm& state = simulation.vms[vm];
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

} // namespace

void actAsLeader(Simulation& simulation, unsigned vm)
{
    SimulatedVm& state = simulation.vms[vm];
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

} // namespace GrantTest
