#include <soak/partitions.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <functional>
#include <iostream>

namespace Soak {

using namespace std::chrono_literals;

namespace {

/// The platform's time after a disturbance until its bounds hold again.
constexpr std::chrono::milliseconds stability = 3s;
/// Within this time after healing all is served again.
constexpr std::chrono::milliseconds recoveryTime = 1s;
/// How long requests after that count as sent after healing.
constexpr std::chrono::milliseconds observedAfterHealing = 3s;

bool lasts(const World& world) { return !world.partitions.empty() && !world.partitions.back().healedAt; }

std::vector<bool> drawVms(World& world, PartitionSet set)
{
    const std::size_t count = world.vms.size();
    std::vector<bool> cut(count, set == PartitionSet::All || set == PartitionSet::AllButOne);
    const std::size_t drawn = drawNumber(world, 0, count - 1);
    switch (set) {
    case PartitionSet::Half:
        for (std::size_t vm = 0; vm < count / 2; ++vm)
            cut[(drawn + vm) % count] = true;
        break;
    case PartitionSet::AllButOne:
        cut[drawn] = false;
        break;
    case PartitionSet::All:
        break;
    case PartitionSet::Leader: {
        const std::string leader = leaderName(world);
        for (std::size_t vm = 0; vm < count; ++vm)
            cut[vm] = world.vms[vm]->name == leader;
        break;
    }
    }
    return cut;
}

/// Connects as the VM would and compares what comes of it with what the link's state asks for. A difference
/// is a fault of the soak.
void checkLink(World& world, UpstreamHost& upstream, std::size_t vm)
{
    constexpr std::chrono::milliseconds patience = 400ms;
    const TcpProxy& way = *upstream.ways[vm];
    if (!upstream.up)
        return;
    const LinkState state = way.state;
    const std::shared_ptr<Tcp::socket> socket = std::make_shared<Tcp::socket>(world.context);
    const std::shared_ptr<std::string> seen = std::make_shared<std::string>("hanging");
    socket->async_connect(way.endpoint,
        [seen](const boost::system::error_code& error) { *seen = error ? error.message() : "open"; });
    const std::function<void()> compare = [&world, &upstream, &way, state, socket, seen] {
        const std::string refused = make_error_code(boost::asio::error::connection_refused).message();
        const std::string expected = state == LinkState::Hanging ? "hanging"
            : state == LinkState::Open                           ? "open"
                                                                 : refused;
        if (*seen != expected && way.state == state && upstream.up)
            world.soakFaults.push_back(std::string(Utils::enumName(linkStateNames, state)) + " link to "
                + upstream.server.id + ": " + *seen);
    };
    // A connection that was ready when the timer expired is seen first.
    after(world, patience, [&world, compare] { boost::asio::post(world.context, compare); });
}

/// Checks one link of each VM that the last partition has cut.
void checkLinks(World& world)
{
    for (std::size_t vm = 0; vm < world.vms.size(); ++vm) {
        if (world.partitions.back().vms[vm])
            checkLink(world, *world.upstreams[vm % world.upstreams.size()], vm);
    }
}

/// Calls \a change with each link of the VMs that the last partition cuts.
template <typename Change> void changeLinks(World& world, const Change& change)
{
    const Partition& partition = world.partitions.back();
    for (const std::unique_ptr<UpstreamHost>& upstream : world.upstreams) {
        for (std::size_t vm = 0; vm < world.vms.size(); ++vm) {
            if (partition.vms[vm])
                change(*upstream->ways[vm]);
        }
    }
}

void heal(World& world)
{
    changeLinks(world, healLink);
    world.partitions.back().healedAt = std::chrono::steady_clock::now();
    checkLinks(world);
}

/// Whether nothing but a partition has disturbed the VM lately.
bool isSteady(const VmProcess& vm, Instant at)
{
    return vm.pid > 0 && !vm.paused && at - vm.disturbedAt > stability;
}

bool hasSteadyOther(const World& world, const Partition& partition, Instant at)
{
    for (std::size_t vm = 0; vm < world.vms.size(); ++vm) {
        if (!partition.vms[vm] && isSteady(*world.vms[vm], at))
            return true;
    }
    return false;
}

CutPhase phaseOf(const World& world, const Partition& partition, const RequestRecord& record)
{
    const Instant at = record.sentAt;
    const bool wasCut = partition.vms[record.vm];
    if (!isSteady(*world.vms[record.vm], at))
        return CutPhase::None;
    if (!partition.healedAt) {
        if (at - partition.from < stability || !hasSteadyOther(world, partition, at))
            return CutPhase::None;
        return wasCut ? CutPhase::Cut : CutPhase::OthersDuringCut;
    }
    const Instant recoveredAt = *partition.healedAt + recoveryTime;
    if (at < recoveredAt || at >= recoveredAt + observedAfterHealing)
        return CutPhase::None;
    return wasCut ? CutPhase::Healed : CutPhase::OthersAfterHealing;
}

void noteLag(World& world, Instant expectedAt)
{
    constexpr std::chrono::milliseconds interval = 20ms;
    const Instant at = std::chrono::steady_clock::now();
    const std::chrono::milliseconds lag
        = std::chrono::duration_cast<std::chrono::milliseconds>(at - expectedAt);
    world.maxLag = std::max(world.maxLag, lag);
    if (!world.partitions.empty()) {
        Partition& partition = world.partitions.back();
        if (!partition.healedAt || at < *partition.healedAt + recoveryTime + observedAfterHealing)
            partition.maxLag = std::max(partition.maxLag, lag);
    }
    after(world, interval, [&world, nextAt = at + interval] { noteLag(world, nextAt); });
}

} // namespace

void startPartition(World& world, LinkState state, PartitionSet set, std::chrono::milliseconds length)
{
    if (lasts(world))
        return;
    constexpr std::chrono::milliseconds settleTime = 100ms;
    Partition partition;
    partition.state = state;
    partition.set = set;
    partition.vms = drawVms(world, set);
    partition.from = std::chrono::steady_clock::now();
    std::cout << R"({"event":"partition","state":")" << Utils::enumName(linkStateNames, state)
              << R"(","set":")" << Utils::enumName(partitionSetNames, set) << R"(","cut":)"
              << std::count(partition.vms.begin(), partition.vms.end(), true) << R"(,"ms":)" << length.count()
              << "}\n";
    world.partitions.push_back(std::move(partition));
    changeLinks(world, [state](TcpProxy& way) { cutLink(way, state); });
    after(world, settleTime, [&world] { checkLinks(world); });
    after(world, length, [&world] { heal(world); });
}

void notePhase(const World& world, RequestRecord& record)
{
    if (world.partitions.empty())
        return;
    record.partition = world.partitions.size() - 1;
    record.phase = phaseOf(world, world.partitions.back(), record);
    record.isCalm = record.sentAt > world.otherFaultUntil + stability;
}

void watchLag(World& world) { noteLag(world, std::chrono::steady_clock::now()); }

} // namespace Soak
