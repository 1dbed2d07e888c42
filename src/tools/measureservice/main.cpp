#include "decisioncost.h"
#include "pool.h"
#include "simulation.h"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace Measure;

constexpr double microsecondsPerMillisecond = 1000;

double milliseconds(Utils::Duration duration)
{
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

boost::json::object rankLine(
    const ServiceReport& report, const Utils::RankId& rank, const ServiceReport& unflooded)
{
    const RankReport& measured = report.ranks.at(rank);
    boost::json::object notRun;
    for (const std::pair<const Requests::Reason, std::uint64_t>& reason : measured.notRun)
        notRun[Utils::enumName(Requests::reasonNames, reason.first)] = reason.second;
    return boost::json::object {
        { "rank", rank.value },
        { "offered", measured.offered },
        { "done", measured.done },
        { "late", measured.late },
        { "unknown", measured.unknown },
        { "not_run", notRun },
        { "p50_ms", milliseconds(percentile(measured.latencies, 50)) },
        { "p99_ms", milliseconds(percentile(measured.latencies, 99)) },
        { "refused_p99_ms", milliseconds(percentile(measured.refusals, 99)) },
        { "slot_share", slotShare(report, rank) },
        { "kept", ratio(measured.done, unflooded.ranks.at(rank).done) },
    };
}

boost::json::object reportLine(const ServiceReport& report)
{
    return boost::json::object {
        { "slots_busy", slotsBusy(report) },
        { "slots_working", slotsWorking(report) },
        { "most_running", report.mostRunning },
        { "sent_per_admitted", ratio(report.sent, report.sentRequests) },
        { "attempts_per_request", ratio(report.attempts, report.requests) },
    };
}

void print(const Scenario& scenario, Routing routing, std::uint64_t seed, const ServiceReport& report,
    const ServiceReport& unflooded)
{
    const boost::json::object head { { "scenario", scenario.name },
        { "routing", Utils::enumName(routingNames, routing) }, { "seed", seed } };
    boost::json::object whole = reportLine(report);
    whole.insert(head.begin(), head.end());
    std::cout << boost::json::serialize(whole) << '\n';
    for (const RankLoad& load : scenario.loads) {
        boost::json::object line = rankLine(report, load.rank, unflooded);
        line.insert(head.begin(), head.end());
        std::cout << boost::json::serialize(line) << '\n';
    }
}

void printCost()
{
    constexpr std::uint64_t works = 100'000;
    const DecisionCost cost = measureDecisions(works);
    const boost::json::object line { { "measure", "dispatch_decisions" }, { "works", works },
        { "ns_per_work", cost.nanosecondsPerWork }, { "bytes_per_remembered", cost.bytesPerRemembered },
        { "bytes_per_queued", cost.bytesPerQueued } };
    std::cout << boost::json::serialize(line) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures service by rank in virtual time, next to two baselines.");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of the run.", false, 1, "number", line);
    TCLAP::SwitchArg cost("c", "cost", "Measure what decisions cost on this machine instead.", line);
    line.parse(argc, argv);
    if (cost.getValue()) {
        printCost();
        return EXIT_SUCCESS;
    }
    for (const Utils::EnumName<Routing>& routing : routingNames) {
        ServiceReport unflooded;
        for (const Scenario& scenario : scenarios()) {
            const ServiceReport report = simulate(scenario, routing.value, seed.getValue());
            if (unflooded.ranks.empty())
                unflooded = report;
            print(scenario, routing.value, seed.getValue(), report, unflooded);
        }
    }
    return EXIT_SUCCESS;
}
