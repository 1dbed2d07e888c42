#include <balancing/requestlimit.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 10000s };
constexpr Utils::Duration duration = 60s;
constexpr Utils::Duration step = 5ms;
const RequestBound bound { 1s, 1.5, 8, 0.5 };

/// How the VMs see one another, and what happens to them.
struct Fleet {
    const char* name;
    double perSecond;
    std::size_t vmCount;
    /// Mean requests per second for the upstream at each VM.
    double arrivalsPerSecond;
    /// Part of the VMs that knows few members only.
    double partialViews;
    /// Part of the VMs that counts a tenth fewer or more VMs.
    double wrongCounts;
    /// Restarts of VMs per second.
    double restartsPerSecond;
    /// No requests arrive before, so that all sends are free.
    Utils::Duration idle;
};

struct Vm {
    std::uint64_t rank = 0;
    std::vector<std::uint64_t> others;
    std::size_t vmCount = 0;
    RequestLimit budget;
    Utils::Instant readyAt {};
};

void startVm(Vm& vm, double perSecond, double phase, Utils::Instant at)
{
    vm.readyAt = at;
    vm.budget = {};
    vm.budget.bound = bound;
    vm.budget.perSecond = perSecond;
    vm.budget.shareholders = countShareholders(perSecond, bound, vm.vmCount);
    vm.budget.isShareholder = isAmongShareholders(vm.budget, vm.rank, vm.others, vm.vmCount);
    startLimit(vm.budget, phase, at);
    vm.budget.nextSendAt = std::max(vm.budget.nextSendAt, at + bound.window);
}

std::vector<Vm> makeVms(const Fleet& fleet, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<std::uint64_t> ranks;
    for (std::size_t vm = 0; vm < fleet.vmCount; ++vm)
        ranks.push_back(random());
    std::vector<Vm> vms(fleet.vmCount);
    for (std::size_t index = 0; index < vms.size(); ++index) {
        Vm& vm = vms[index];
        const bool isPartial = fraction(random) < fleet.partialViews;
        vm.rank = ranks[index];
        vm.vmCount = fleet.vmCount;
        if (fraction(random) < fleet.wrongCounts)
            vm.vmCount = fleet.vmCount * (random() % 2 == 0 ? 9 : 11) / 10;
        for (std::size_t other = 0; other < ranks.size(); ++other) {
            if (other != index && (!isPartial || random() % 4 == 0))
                vm.others.push_back(ranks[other]);
        }
        startVm(vm, fleet.perSecond, fraction(random), start);
    }
    return vms;
}

/// Times at which requests are sent to the cold upstream.
std::vector<Utils::Instant> simulate(const Fleet& fleet, std::uint64_t seed, bool hasBudget)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<Vm> vms = makeVms(fleet, random);
    const double stepSeconds = std::chrono::duration<double>(step).count();
    std::vector<Utils::Instant> sends;
    for (Utils::Instant at = start; at < start + fleet.idle + duration; at += step) {
        if (fraction(random) < fleet.restartsPerSecond * stepSeconds)
            startVm(vms[random() % vms.size()], fleet.perSecond, fraction(random), at + 1s);
        for (Vm& vm : vms) {
            if (at < start + fleet.idle || at < vm.readyAt
                || fraction(random) >= fleet.arrivalsPerSecond * stepSeconds)
                continue;
            if (!hasBudget || reserveSend(vm.budget, 0, 0ms, at))
                sends.push_back(at);
        }
    }
    return sends;
}

std::size_t mostInWindow(const std::vector<Utils::Instant>& sends)
{
    std::size_t most = 0;
    for (auto it = sends.begin(); it != sends.end(); ++it) {
        const auto end = std::lower_bound(it, sends.end(), *it + bound.window);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

} // namespace

TEST_CASE("All VMs together keep within the budget of a cold upstream in each second", "[coldbudget]")
{
    const Fleet fleet = GENERATE(values<Fleet>({
        { "30 VMs", 5.4, 30, 3, 0, 0, 0, 0s },
        { "130 VMs after a pause", 5.4, 130, 20, 0, 0, 0, 20s },
        { "130 VMs, some cut off", 5.4, 130, 3, 0.2, 0, 0, 0s },
        { "130 VMs, all cut off", 5.4, 130, 3, 1, 0, 0, 20s },
        { "different counts", 5.4, 60, 3, 0.2, 0.5, 0, 0s },
        { "restarts", 5.4, 60, 3, 0, 0.1, 2, 0s },
        { "as many shareholders as the rate", 100, 85, 60, 0, 0, 0, 20s },
        { "few VMs", 5.4, 3, 20, 0, 0, 0, 0s },
        { "a small rate", 0.5, 130, 3, 0.1, 0, 0, 0s },
    }));
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 9));
    INFO(fleet.name << ", seed " << seed);
    const std::size_t allowed
        = static_cast<std::size_t>(std::floor(fleet.perSecond * bound.excessFactor + bound.excessRequests));
    const std::vector<Utils::Instant> sends = simulate(fleet, seed, true);
    CHECK(mostInWindow(sends) <= allowed);
    CHECK(mostInWindow(simulate(fleet, seed, false)) > allowed);
    // Random arrivals find most sends, if all VMs know one another.
    if (fleet.partialViews == 0 && fleet.restartsPerSecond == 0)
        CHECK(static_cast<double>(sends.size())
            >= fleet.perSecond * std::chrono::duration<double>(duration).count() * 0.6);
}

TEST_CASE("A limit and a budget bind together", "[coldbudget]")
{
    struct Row {
        const char* name;
        Utils::Duration limitWait;
        Utils::Duration budgetWait;
        Utils::Duration maxWait;
        std::optional<Utils::Duration> wait;
    };
    const Row row = GENERATE(values<Row>({
        { "both free", 0s, 0s, 0s, 0s },
        { "the limit is used up", 1s, 0s, 0s, std::nullopt },
        { "the budget is used up", 0s, 1s, 0s, std::nullopt },
        { "the later one counts", 1s, 2s, 3s, 2s },
        { "too late for one of them", 1s, 2s, 1500ms, std::nullopt },
    }));
    INFO(row.name);
    RequestLimit limit;
    RequestLimit budget;
    budget.bound = bound;
    limit.perSecond = budget.perSecond = 2;
    limit.nextSendAt = start + row.limitWait;
    budget.nextSendAt = start + row.budgetWait;
    CHECK(reserveSend({ &limit, &budget }, 0, row.maxWait, start) == row.wait);
    CHECK(limit.nextSendAt == (row.wait ? start + *row.wait + shareInterval(limit) : start + row.limitWait));
    CHECK(
        budget.nextSendAt == (row.wait ? start + *row.wait + shareInterval(budget) : start + row.budgetWait));
}
