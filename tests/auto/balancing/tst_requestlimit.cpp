#include <balancing/requestlimit.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 10000s };
constexpr Utils::Duration window = 4s;

/// The platform's bound on the requests in any window.
std::size_t boundOf(double perSecond)
{
    return static_cast<std::size_t>(std::floor(perSecond * 1.5 * 4 + 5));
}

RequestLimit makeLimit(double perSecond, std::size_t shareholders, double phase)
{
    RequestLimit limit;
    limit.perSecond = perSecond;
    limit.shareholders = shareholders;
    startLimit(limit, phase, start);
    return limit;
}

std::size_t mostInWindow(const std::vector<Utils::Instant>& sends)
{
    std::size_t most = 0;
    for (auto it = sends.begin(); it != sends.end(); ++it) {
        const auto end = std::upper_bound(it, sends.end(), *it + window);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

} // namespace

TEST_CASE("All VMs together keep within the limit of an upstream, without messages", "[requestlimit]")
{
    struct Row {
        const char* name;
        double perSecond;
        std::size_t vmCount;
        /// Whether all VMs learn of the limit with the same phase and are idle before a flood.
        bool inStep;
    };
    const Row row = GENERATE(values<Row>({
        { "twelve VMs", 1.5, 12, false },
        { "twelve VMs in step", 1.4, 12, true },
        { "71 VMs in step", 1.5, 71, true },
        { "2,500 VMs in step", 3, 2500, true },
        { "a fraction", 0.05, 12, true },
        { "nothing", 0, 12, true },
        { "one VM", 2, 1, true },
        { "a limit above the load", 400, 12, false },
    }));
    INFO(row.name);
    const std::size_t shareholders = countShareholders(row.perSecond, {}, row.vmCount);
    CHECK(shareholders <= row.vmCount);
    std::vector<RequestLimit> limits;
    for (std::size_t vm = 0; vm < shareholders; ++vm) {
        const double phase = row.inStep ? 0 : static_cast<double>(vm) / static_cast<double>(shareholders);
        limits.push_back(makeLimit(row.perSecond, shareholders, phase));
    }
    std::vector<Utils::Instant> sends;
    constexpr Utils::Duration duration = 60s;
    const Utils::Duration idle = row.inStep ? 10s : 0s;
    for (Utils::Instant at = start + idle; at < start + idle + duration; at += 20ms) {
        for (RequestLimit& limit : limits) {
            if (reserveSend(limit, 0, 0ms, at))
                sends.push_back(at);
        }
    }
    CHECK(mostInWindow(sends) <= boundOf(row.perSecond));
    // With requests at all times, most of the limit is used, up to what the callers send.
    const double wanted = std::min(row.perSecond, 50.0 * static_cast<double>(shareholders)) * 60 * 0.6;
    CHECK(static_cast<double>(sends.size()) >= wanted);
    CHECK(!sends.empty());
}

TEST_CASE("A send within a limit is reserved, in the order of urgency", "[requestlimit]")
{
    struct Ask {
        Utils::Duration after;
        unsigned priority;
        Utils::Duration maxWait;
        std::optional<Utils::Duration> wait;
    };
    struct Row {
        const char* name;
        std::vector<Ask> asks;
    };
    // One VM, a limit of 1 / 0.85 a second: a send each second.
    const Row row = GENERATE(values<Row>({
        { "free", { { 0s, 1, 0s, 0s } } },
        { "used up", { { 0s, 1, 0s, 0s }, { 400ms, 1, 500ms, std::nullopt }, { 1s, 1, 0s, 0s } } },
        { "worth waiting for",
            { { 0s, 1, 0s, 0s }, { 400ms, 1, 700ms, 600ms }, { 1100ms, 1, 0s, std::nullopt } } },
        { "less urgent than others",
            { { 0s, 1, 0s, 0s }, { 400ms, 2, 700ms, std::nullopt }, { 1s, 2, 700ms, 0s } } },
        { "more urgent than others",
            { { 0s, 2, 0s, 0s }, { 400ms, 1, 700ms, 600ms }, { 1100ms, 2, 2s, std::nullopt } } },
        { "its time has passed", { { 0s, 1, -1s, 0s }, { 100ms, 1, -1s, std::nullopt } } },
    }));
    INFO(row.name);
    RequestLimit limit = makeLimit(1 / 0.85, 1, 0);
    for (const Ask& ask : row.asks)
        CHECK(reserveSend(limit, ask.priority, ask.maxWait, start + ask.after) == ask.wait);
}

TEST_CASE("A VM without a share of a limit sends nothing and says when to come back", "[requestlimit]")
{
    RequestLimit limit = makeLimit(1.5, 12, 0);
    limit.isShareholder = false;
    CHECK(reserveSend(limit, 0, 10s, start) == std::nullopt);
    CHECK(retryDelay(limit, start) > 1s);
    limit.isShareholder = true;
    CHECK(reserveSend(limit, 0, 0s, start) == Utils::Duration::zero());
    CHECK(retryDelay(limit, start) == shareInterval(limit));
    CHECK(retryDelay(limit, start + shareInterval(limit)) >= 300ms);
}
