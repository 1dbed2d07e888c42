#include "loadreplay.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace LoadReplay;
using namespace std::chrono_literals;

namespace {

struct Row {
    const char* name;
    Load load;
};

/// Part of the worth of an omniscient queue that is to be obtained in the middle of all loads.
constexpr double targetRatio = 0.9;
/// Largest part (1/n) of the requests that may be sent to upstreams in vain.
constexpr unsigned maxNotRunDivisor = 20;

Kind command(double perSecond, double burst)
{
    return { "command", 0, perSecond, 300ms, 2s, 2s, 3s, 1, 1, 0.42, burst };
}

Load makeLoad(std::vector<Kind> kinds)
{
    Load load;
    load.kinds = std::move(kinds);
    return load;
}

std::vector<Row> makeRows()
{
    std::vector<Row> rows;
    const Kind status { "status", 0, 400, 95ms, 500ms, 1500ms, 1500ms, 1, 4, 0.43, 1 };
    const Kind lookup { "lookup", 1, 300, 200ms, 1s, 2500ms, 2500ms, 1, 1, 0.28, 2.5 };
    rows.push_back({ "burst of a less urgent kind", makeLoad({ status, lookup }) });
    rows.push_back({ "2.2 times the rate for 6 s", makeLoad({ command(400, 2.2) }) });
    Load uneven = makeLoad({ command(330, 1.8) });
    uneven.slowestSpeed = 0.5;
    uneven.fastestSpeed = 1.5;
    uneven.noisyShare = 0.2;
    rows.push_back({ "speeds 0.5 to 1.5 with a noisy fifth", uneven });
    Load restarted = makeLoad({ command(400, 2.2) });
    restarted.restartAt = 8s;
    rows.push_back({ "all VMs restarted at the peak", restarted });
    return rows;
}

} // namespace

TEST_CASE("the queue obtains most of what is possible", "[waitingloads]")
{
    std::vector<double> ratios;
    for (const Row& row : makeRows()) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            const Result best = replay(row.load, Policy::Omniscient, seed);
            const Result before = replay(row.load, Policy::Admission, seed);
            const Result queued = replay(row.load, Policy::WorkQueue, seed);
            const std::string text = std::string(row.name) + ", seed " + std::to_string(seed)
                + "\n omniscient\n" + describe(row.load, best) + " admission, ratio "
                + std::to_string(before.worth / best.worth) + "\n" + describe(row.load, before)
                + " work queue, ratio " + std::to_string(queued.worth / best.worth) + "\n"
                + describe(row.load, queued);
            WARN(text);
            CHECK(queued.worth > before.worth);
            unsigned sent = 0;
            for (const KindResult& kind : queued.kinds)
                sent += kind.sent;
            CHECK(queued.notRun <= sent / maxNotRunDivisor);
            ratios.push_back(queued.worth / best.worth);
        }
    }
    std::sort(ratios.begin(), ratios.end());
    CHECK(ratios[ratios.size() / 2] >= targetRatio);
}
