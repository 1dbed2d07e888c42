#include <balancing/retrybudget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

unsigned consumeAll(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant at)
{
    unsigned consumed = 0;
    while (consumed < 1000 && tryConsumeRetry(budget, allowance, at))
        ++consumed;
    return consumed;
}

} // namespace

TEST_CASE("Retries stay within the ratio and the slack of a window", "[retrybudget]")
{
    struct Row {
        const char* name;
        unsigned requests;
        double ratio;
        double slack;
        unsigned retries;
    };
    const Row row = GENERATE(values<Row>({
        { "slack alone", 0, 0.2, 3, 3 },
        { "ratio alone", 50, 0.2, 0, 10 },
        { "both", 50, 0.2, 3, 13 },
        { "none", 0, 0.2, 0, 0 },
    }));
    INFO(row.name);
    RetryBudget budget;
    const RetryAllowance allowance { row.ratio, row.slack, 10s };
    for (unsigned request = 0; request < row.requests; ++request)
        recordRequest(budget, allowance, start);
    CHECK(consumeAll(budget, allowance, start) == row.retries);
}

TEST_CASE("No window at any position has more retries than allowed", "[retrybudget]")
{
    RetryBudget budget;
    const RetryAllowance allowance { 0.2, 3, 10s };
    std::vector<Utils::Instant> retryTimes;
    for (Utils::Instant at = start; at < start + 60s; at += 100ms) {
        if (tryConsumeRetry(budget, allowance, at))
            retryTimes.push_back(at);
    }
    for (const Utils::Instant& first : retryTimes) {
        const auto end = std::upper_bound(retryTimes.begin(), retryTimes.end(), first + 9s);
        const auto begin = std::lower_bound(retryTimes.begin(), retryTimes.end(), first);
        CHECK(end - begin <= 3);
    }
    CHECK(retryTimes.size() >= 12);
}

TEST_CASE("The shares of all VMs stay within the allowance of the whole system", "[retrybudget]")
{
    struct Row {
        const char* name;
        std::uint32_t vms;
        std::uint32_t knownVms;
        Utils::Duration uptime;
        double slack;
    };
    const RetryAllowance whole { 0.2, 60, 10s };
    const Row row = GENERATE(values<Row>({
        { "known number", 71, 71, 1min, 60 },
        { "number not known yet", 71, 0, 1min, 0 },
        { "a single VM", 1, 1, 1min, 60 },
        // The VMs of before may have used their shares in the same window.
        { "all VMs restarted in the window", 71, 71, 9s, 0 },
    }));
    INFO(row.name);
    const RetryAllowance share = shareAllowance(whole, row.knownVms, row.uptime);
    CHECK(share.ratio == whole.ratio);
    CHECK(share.window == whole.window);
    CHECK(share.slack * row.vms == Approx(row.slack));
}
