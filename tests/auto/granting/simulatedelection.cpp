#include "simulatedelection.h"

namespace GrantTest {

using namespace Granting;
using namespace std::chrono_literals;

void appendLease(Simulation& simulation, unsigned vm)
{
    SimulatedVm& state = simulation.vms[vm];
    recordAppendSent(state.leadership, simulation.now);
    const Utils::Offset end = *state.leadership.logEnd;
    const bool isResponseLost = happens(simulation, 0.1);
    const Utils::Duration delay = isResponseLost && happens(simulation, 0.5)
        ? randomDuration(simulation, 1s, 5s)
        : randomDuration(simulation, 2ms, 300ms);
    schedule(simulation, delay, [&simulation, vm, end, isResponseLost] {
        SimulatedVm& state = simulation.vms[vm];
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

void readLeaderLog(Simulation& simulation, unsigned vm)
{
    const std::optional<LeaderRecord> last
        = simulation.leaders.empty() ? std::nullopt : std::optional<LeaderRecord>(simulation.leaders.back());
    recordLogRead(simulation.vms[vm].leadership, simulation.leaders.size(), last, simulation.now);
}

} // namespace GrantTest
