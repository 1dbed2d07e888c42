#include <gateway/proposals.h>

#include <agreement/checkpoint.h>
#include <agreement/recordcodec.h>
#include <gateway/gatewayconstants.h>
#include <gateway/holdercalls.h>
#include <gateway/watching.h>
#include <logging/log.h>
#include <membership/health.h>
#include <membership/proposal.h>
#include <ownership/granter.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <set>

namespace Gateway {

namespace Internal {

using Agreement::PoolAssignment;
using Membership::ProposalInput;
using Membership::VmCandidate;

/// Silence after which a VM no longer counts as alive for proposals.
constexpr Utils::Duration vmSilence = std::chrono::milliseconds(1600);
/// Silence after which an upstream gets no shards in proposals.
constexpr Utils::Duration upstreamSilence = std::chrono::milliseconds(1000);

std::map<Utils::VmId, VmCandidate> aliveVms(const ControlState& state)
{
    const Utils::Instant now = Utils::monotonicNow();
    std::map<Utils::VmId, VmCandidate> alive;
    for (const std::pair<const Utils::VmId, LogService::VmEntry>& entry : state.vms) {
        const auto health = state.health.find(entry.first);
        if (entry.first == state.self.vm || health == state.health.end()
            || !Membership::isAlive(health->second, now, vmSilence))
            continue;
        const bool leaving = health->second.leaving || entry.second.state == LogService::VmState::Leaving;
        const Agreement::VmStart start { entry.first, health->second.incarnation };
        alive[entry.first] = { { start, entry.second.zone, entry.second.region }, leaving };
    }
    alive[state.self.vm] = { { state.self, state.settings.zone, state.settings.region }, state.leaving };
    return alive;
}

/// The upstreams declared for \a pool; none when it is no longer declared.
const std::map<Utils::UpstreamId, Declarations::Upstream>& upstreamsOf(
    const ControlState& state, const Utils::PoolId& pool)
{
    static const std::map<Utils::UpstreamId, Declarations::Upstream> none;
    const auto declared = state.configuration->pools.find(pool);
    return declared == state.configuration->pools.end() ? none : declared->second.upstreams;
}

std::map<Utils::UpstreamId, Utils::Incarnation> answeringUpstreams(
    const ControlState& state, const Utils::PoolId& pool)
{
    const Utils::Instant now = Utils::monotonicNow();
    std::map<Utils::UpstreamId, Utils::Incarnation> answering;
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : upstreamsOf(state, pool)) {
        const auto health = state.upstreams.find(entry.first);
        if (health != state.upstreams.end() && health->second.lastHeard
            && now - *health->second.lastHeard <= upstreamSilence)
            answering[entry.first] = health->second.incarnation;
    }
    return answering;
}

/// Every pool that is declared or still assigned.
std::set<Utils::PoolId> knownPools(const ControlState& state)
{
    std::set<Utils::PoolId> pools;
    for (const std::pair<const Utils::PoolId, Declarations::UpstreamPool>& entry : state.configuration->pools)
        pools.insert(entry.first);
    for (const std::pair<const Utils::PoolId, PoolAssignment>& entry : state.reader.state.agreed.assignments)
        pools.insert(entry.first);
    return pools;
}

ProposalInput inputFor(
    const ControlState& state, const Utils::PoolId& pool, const std::map<Utils::VmId, VmCandidate>& alive)
{
    ProposalInput input { state.reader.state, pool, state.self.vm, alive, proposersOf(state, pool),
        answeringUpstreams(state, pool), {} };
    const auto granter = state.granters.find(pool);
    if (granter != state.granters.end() && granter->second.role == Ownership::GranterRole::Granting)
        input.served = granter->second.servedShards;
    return input;
}

Agreement::RecordHeader nextHeader(ControlState& state)
{
    return { { Agreement::WriterKind::Vm, state.self.vm.value, state.self.incarnation }, ++state.lastRecord };
}

void append(ControlState& state, const Agreement::RecordVariant& record)
{
    if (!state.outputs.toLog(Agreement::encodeRecord(record)))
        state.metrics.counters.add(Counter::RingFull);
}

/// Whether each upstream of the pool has answered, or has been asked long enough ago to be silent.
bool knowsUpstreams(const ControlState& state, const Utils::PoolId& pool)
{
    const Utils::Instant now = Utils::monotonicNow();
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : upstreamsOf(state, pool)) {
        const auto health = state.upstreams.find(entry.first);
        if (health == state.upstreams.end())
            return false;
        const bool silent = health->second.firstAsked && now - *health->second.firstAsked > upstreamSilence;
        if (!health->second.lastHeard && !silent)
            return false;
    }
    return true;
}

void proposeAssignmentDue(ControlState& state, const Utils::PoolId& pool, const ProposalInput& input)
{
    if (!knowsUpstreams(state, pool))
        return;
    std::optional<Agreement::AssignmentRecord> record = Membership::proposeAssignment(input);
    if (!record)
        return;
    record->header = nextHeader(state);
    Logging::write(Logging::Level::Info, "proposal",
        { { "pool", pool.value }, { "based_on", record->basedOn },
            { "dispatcher", record->dispatcher.vm.value }, { "successor", record->successor.vm.value },
            { "upstreams", record->upstreams.size() } });
    append(state, *record);
}

void proposeSettlement(ControlState& state, const Utils::PoolId& pool)
{
    const auto granter = state.granters.find(pool);
    if (granter == state.granters.end() || granter->second.assignment.formers.empty()
        || granter->second.role != Ownership::GranterRole::Granting)
        return;
    if (!Ownership::arePreviousAssignmentsRetired(granter->second, Utils::monotonicNow()))
        return;
    Agreement::SettledRecord record;
    record.header = nextHeader(state);
    record.pool = pool;
    record.token = granter->second.assignment.token;
    record.by = state.self;
    append(state, record);
}

void proposeCheckpoint(ControlState& state, const std::map<Utils::VmId, VmCandidate>& alive)
{
    const std::chrono::milliseconds age(state.newestRecordMs - state.oldestNeededMs);
    if (!Agreement::checkpointDue(state.reader.state, age, state.settings.logRetention))
        return;
    std::set<Utils::VmId> names;
    for (const std::pair<const Utils::VmId, VmCandidate>& entry : alive)
        names.insert(entry.first);
    if (Membership::rendezvousOrder(names, "checkpoint").front() == state.self.vm)
        append(state, Agreement::makeCheckpoint(state.reader.state, nextHeader(state)));
}

} // namespace Internal

void pollUpstreams(ControlState& state)
{
    if (state.configuration == nullptr)
        return;
    const Utils::Instant now = Utils::monotonicNow();
    const std::map<Utils::VmId, Membership::VmCandidate> alive = Internal::aliveVms(state);
    for (const Utils::PoolId& pool : Internal::knownPools(state)) {
        if (!Membership::isProposer(Internal::inputFor(state, pool, alive)))
            continue;
        for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry :
            Internal::upstreamsOf(state, pool)) {
            UpstreamHealth& health = state.upstreams[entry.first];
            if (now - health.lastAsked < upstreamPollEvery)
                continue;
            health.lastAsked = now;
            if (!health.firstAsked)
                health.firstAsked = now;
            boost::asio::co_spawn(state.context, pollUpstream(state, entry.first), boost::asio::detached);
        }
    }
}

void proposeDue(ControlState& state)
{
    if (state.configuration == nullptr || state.reader.status != Agreement::ReaderStatus::Following)
        return;
    const Utils::Instant now = Utils::monotonicNow();
    const std::map<Utils::VmId, Membership::VmCandidate> alive = Internal::aliveVms(state);
    for (const Utils::PoolId& pool : Internal::knownPools(state)) {
        Utils::Instant& last = state.lastProposal[pool];
        if (now - last < proposalEvery)
            continue;
        last = now;
        Internal::proposeSettlement(state, pool);
        const Membership::ProposalInput input = Internal::inputFor(state, pool, alive);
        if (Membership::isProposer(input))
            Internal::proposeAssignmentDue(state, pool, input);
    }
    Utils::Instant& last = state.lastProposal[{}];
    if (now - last < proposalEvery)
        return;
    last = now;
    Internal::proposeCheckpoint(state, alive);
}

} // namespace Gateway
