#include <balancing/retrybudget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

unsigned spendAll(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant at)
{
    unsigned spent = 0;
    while (spent < 1000 && tryConsumeRetry(budget, allowance, at))
        ++spent;
    return spent;
}

} // namespace

TEST_CASE("Repeats keep to the ratio and the slack of a window", "[retrybudget]")
{
    struct Row {
        const char* name;
        unsigned requests;
        double ratio;
        double slack;
        unsigned repeats;
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
    CHECK(spendAll(budget, allowance, start) == row.repeats);
}

TEST_CASE("No window of any position has more repeats than allowed", "[retrybudget]")
{
    RetryBudget budget;
    const RetryAllowance allowance { 0.2, 3, 10s };
    std::vector<Utils::Instant> spent;
    for (Utils::Instant at = start; at < start + 60s; at += 100ms) {
        if (tryConsumeRetry(budget, allowance, at))
            spent.push_back(at);
    }
    for (const Utils::Instant& first : spent) {
        const auto end = std::upper_bound(spent.begin(), spent.end(), first + 9s);
        const auto begin = std::lower_bound(spent.begin(), spent.end(), first);
        CHECK(end - begin <= 3);
    }
    CHECK(spent.size() >= 12);
}
