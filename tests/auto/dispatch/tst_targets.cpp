#include <measureservice/pool.h>
#include <measureservice/simulation.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Measure;

namespace {

constexpr double mostP99Growth = 1.5;
constexpr double leastBusy = 0.95;
constexpr double mostSentPerAdmitted = 1.05;
const Utils::RankId urgent { "urgent" };

Scenario scenarioCalled(const std::string& name)
{
    const std::vector<Scenario> all = scenarios();
    return *std::find_if(
        all.begin(), all.end(), [&name](const Scenario& scenario) { return scenario.name == name; });
}

double urgentP99(const ServiceReport& report)
{
    return static_cast<double>(percentile(report.ranks.at(urgent).latencies, 99).count());
}

} // namespace

TEST_CASE("In a flood of ten times the capacity every rank keeps what it was promised", "[targets]")
{
    const std::string flood = GENERATE("flood_least_urgent", "flood_most_urgent");
    const std::uint64_t seed = GENERATE(range(1, 4));
    INFO(flood << " seed " << seed);
    const ServiceReport unflooded = simulate(scenarioCalled("normal"), Routing::Dispatcher, seed);
    const ServiceReport report = simulate(scenarioCalled(flood), Routing::Dispatcher, seed);
    CHECK(urgentP99(report) <= mostP99Growth * urgentP99(unflooded));
    CHECK(slotsBusy(report) >= leastBusy);
    CHECK(report.mostRunning <= slotCount);
    CHECK(static_cast<double>(report.sent) <= mostSentPerAdmitted * static_cast<double>(report.sentRequests));
    CHECK(static_cast<double>(report.attempts) <= mostSentPerAdmitted * static_cast<double>(report.requests));
    for (const std::pair<const Utils::RankId, Declarations::Rank>& rank : poolOptions().ranks) {
        INFO(rank.first);
        const std::vector<Utils::Duration>& refusals = report.ranks.at(rank.first).refusals;
        CHECK(percentile(refusals, 99) <= rank.second.defaultTimeout / 4);
    }
}

TEST_CASE("A shedding upstream is sent what it takes, and urgent work keeps its service", "[targets]")
{
    const std::uint64_t seed = GENERATE(range(1, 4));
    INFO("seed " << seed);
    const ServiceReport report = simulate(scenarioCalled("shedding_upstream"), Routing::Dispatcher, seed);
    const RankReport& measured = report.ranks.at(urgent);
    CHECK(measured.done * 100 >= measured.offered * 95);
    CHECK(static_cast<double>(report.sent) <= mostSentPerAdmitted * static_cast<double>(report.sentRequests));
}

TEST_CASE("The same seed gives the same report", "[targets]")
{
    const Scenario scenario = scenarioCalled("normal");
    const ServiceReport one = simulate(scenario, Routing::Dispatcher, 7);
    const ServiceReport other = simulate(scenario, Routing::Dispatcher, 7);
    CHECK(one.ranks.at(urgent).latencies == other.ranks.at(urgent).latencies);
}
