#include <soak/limits.h>

#include <algorithm>

namespace Soak {

using namespace std::chrono_literals;

namespace {

/// The platform's bounds.
constexpr std::chrono::milliseconds stability = 3s;
constexpr std::chrono::milliseconds window = 4s;
constexpr std::chrono::milliseconds timeToKnow = 500ms;
constexpr double excessFactor = 1.5;
constexpr double excessRequests = 5;
/// Limits end this long before the traffic does, so that recovery can be seen.
constexpr std::chrono::milliseconds calmAtEnd = 10s;

std::size_t draw(World& world, std::size_t low, std::size_t high)
{
    return low + world.limitRandom() % (high - low + 1);
}

void nameLimit(World& world, UpstreamHost& upstream, std::chrono::milliseconds length)
{
    constexpr std::size_t steps = 12;
    constexpr double stepPerSecond = 0.25;
    if (!upstream.up || !upstream.server.limit.empty())
        return;
    LimitPeriod period;
    period.upstream = upstream.server.id;
    period.perSecond = stepPerSecond * static_cast<double>(draw(world, 1, steps));
    period.from = std::chrono::steady_clock::now();
    upstream.server.limit = std::to_string(period.perSecond);
    world.limitPeriods.push_back(std::move(period));
    after(world, length, [&world, &upstream] { endLimit(world, upstream); });
}

void nameNext(World& world, Instant end)
{
    constexpr std::chrono::milliseconds minLength = 6s;
    const std::chrono::milliseconds timeLeft
        = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    if (timeLeft < minLength)
        return;
    const std::chrono::milliseconds length(draw(world, 6000, 12000));
    UpstreamHost& upstream = *world.upstreams[draw(world, 0, world.upstreams.size() - 1)];
    nameLimit(world, upstream, std::min(length, timeLeft));
    after(world, std::chrono::milliseconds(draw(world, 500, 4000)), [&world, end] { nameNext(world, end); });
}

std::string describeArrivals(const LimitPeriod& period)
{
    std::string text;
    for (const LimitPeriod::Arrival& arrival : period.arrivals)
        text += " " + arrival.vm + "@"
            + std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(arrival.at - period.from).count());
    return text;
}

/// Arrivals that count: of VMs that had been told, some time after the limit was first named.
std::vector<Instant> countedArrivals(const LimitPeriod& period)
{
    std::vector<Instant> counted;
    Instant namedAt = Instant::max();
    for (auto it = period.toldAt.begin(); it != period.toldAt.end(); ++it)
        namedAt = std::min(namedAt, it->second);
    for (const LimitPeriod::Arrival& arrival : period.arrivals) {
        const auto told = period.toldAt.find(arrival.vm);
        if (told != period.toldAt.end() && arrival.at >= told->second + timeToKnow
            && arrival.at >= namedAt + stability)
            counted.push_back(arrival.at);
    }
    return counted;
}

void checkPeriod(World& world, const LimitPeriod& period)
{
    const double allowed
        = excessFactor * period.perSecond * std::chrono::duration<double>(window).count() + excessRequests;
    const std::vector<Instant> counted = countedArrivals(period);
    std::size_t most = 0;
    for (auto it = counted.begin(); it != counted.end(); ++it) {
        const auto end = std::upper_bound(it, counted.end(), *it + window);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    if (static_cast<double>(most) > allowed)
        violate(world,
            "limit of " + period.upstream + ", " + std::to_string(period.perSecond)
                + " a second: " + std::to_string(most) + " requests in a window:" + describeArrivals(period));
}

} // namespace

void startLimits(World& world)
{
    nameNext(
        world, std::chrono::steady_clock::now() + std::chrono::seconds(world.options.seconds) - calmAtEnd);
}

void endLimit(World& world, UpstreamHost& upstream)
{
    if (upstream.server.limit.empty())
        return;
    upstream.server.limit.clear();
    for (LimitPeriod& period : world.limitPeriods) {
        if (period.upstream == upstream.server.id && !period.until)
            period.until = std::chrono::steady_clock::now();
    }
}

void recordLimitedArrival(World& world, const UpstreamHost& upstream, const VmProcess& vm, Instant at)
{
    if (upstream.server.limit.empty())
        return;
    for (LimitPeriod& period : world.limitPeriods) {
        if (period.upstream == upstream.server.id && !period.until)
            period.arrivals.push_back({ at, vm.name });
    }
}

void recordToldVm(World& world, const std::string& upstream, const VmProcess& vm)
{
    for (LimitPeriod& period : world.limitPeriods) {
        if (period.upstream == upstream && !period.until)
            period.toldAt.try_emplace(vm.name, std::chrono::steady_clock::now());
    }
}

void checkLimits(World& world)
{
    for (const LimitPeriod& period : world.limitPeriods)
        checkPeriod(world, period);
}

} // namespace Soak
