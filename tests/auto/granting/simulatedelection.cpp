#include "simulatedelection.h"
#include "simulatedstore.h"

#include <granting/storereturn.h>
#include <platform/storeposition.h>

namespace GrantTest {

using namespace Granting;
using namespace std::chrono_literals;

namespace {

/// Handles the response to an append. Without an era the store was away.
void receiveAppendResponse(Simulation& simulation, unsigned vm, std::optional<std::uint64_t> era,
    std::optional<std::uint64_t> eraAtSend, std::optional<std::size_t> offset)
{
    Leadership& leadership = simulation.vms[vm].leadership;
    if (era && !noteStoreEra(simulation, vm, *era, eraAtSend))
        recordAppendOutcomeUnknown(leadership);
    else if (offset)
        recordAppendSucceeded(leadership, positionOf(simulation, vm, *offset));
    else
        recordAppendRejected(leadership);
}

} // namespace

void appendLease(Simulation& simulation, unsigned vm)
{
    SimulatedVm& state = simulation.vms[vm];
    if (!state.leadership.term)
        updateSettledEra(state.leadership);
    recordAppendSent(state.leadership, simulation.now);
    const std::size_t end = Platform::offsetOf(*state.leadership.logEnd);
    const LeaderRecord record = state.leadership.self;
    const std::optional<std::uint64_t> eraAtSend = state.storeEra;
    const bool isResponseLost = happens(simulation, 0.1);
    const Utils::Duration delay = isResponseLost && happens(simulation, 0.5)
        ? randomDuration(simulation, 1s, 5s)
        : randomDuration(simulation, 2ms, 300ms);
    // The record takes effect even if the VM has restarted.
    schedule(simulation, delay,
        [&simulation, vm, end, record, eraAtSend, isResponseLost, restarts = state.restarts] {
            const bool isAccepted = !simulation.isStoreDown && simulation.leaders.size() == end;
            if (isAccepted)
                simulation.leaders.push_back(record);
            if (isResponseLost || simulation.vms[vm].restarts != restarts)
                return;
            std::optional<std::uint64_t> era;
            if (!simulation.isStoreDown)
                era = simulation.storeEra;
            std::optional<std::size_t> offset;
            if (isAccepted)
                offset = end;
            scheduleOnVm(simulation, vm, 5ms, [&simulation, vm, era, eraAtSend, offset] {
                receiveAppendResponse(simulation, vm, era, eraAtSend, offset);
            });
        });
    if (isResponseLost)
        scheduleOnVm(simulation, vm, 700ms,
            [&simulation, vm] { recordAppendOutcomeUnknown(simulation.vms[vm].leadership); });
}

void readLeaderLog(Simulation& simulation, unsigned vm)
{
    if (!noteStoreRead(simulation, vm))
        return;
    const std::optional<LeaderRecord> last
        = simulation.leaders.empty() ? std::nullopt : std::optional<LeaderRecord>(simulation.leaders.back());
    recordLogRead(simulation.vms[vm].leadership, positionOf(simulation, vm, simulation.leaders.size()), last,
        simulation.now);
}

} // namespace GrantTest
