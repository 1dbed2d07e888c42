#include "testenvironment.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t vmCount = 6;
/// The platform's bounds: in any window, one and a half times the limit and five requests more, some time
/// after the limit was first named.
constexpr std::chrono::milliseconds stability = 3s;
constexpr std::chrono::milliseconds window = 4s;
constexpr double limitPerSecond = 1.5;
constexpr std::size_t maxArrivals = 14;
/// Between two requests of the callers, which ask the VMs in turn.
constexpr std::chrono::milliseconds requestGap = 50ms;

using Instant = std::chrono::steady_clock::time_point;

/// What happens while the limit is in force.
enum class Disturbance {
    None,
    /// The upstream fails requests, so that they are sent again.
    UpstreamFails,
};

struct Row {
    const char* name;
    bool keyed;
    Disturbance disturbance;
};

struct Callers {
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refusedWithoutDelay = 0;
    std::chrono::milliseconds longestRefusal {};
};

void send(TestEnvironment& environment, Callers& callers, bool keyed)
{
    const Edge::Service& vm = *environment.vms[callers.sent % vmCount];
    Platform::HttpRequest request(http::verb::get, keyed ? "/key/1" : "/safe/1", 11);
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", (keyed ? "k" : "r") + std::to_string(++callers.sent));
    request.set("X-Deadline-Ms", "1000");
    if (keyed)
        request.set("X-Shard-Key", "7");
    request.prepare_payload();
    const Instant sentAt = std::chrono::steady_clock::now();
    Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 3s,
        [&callers, sentAt](const Edge::CallResponse& response) {
            ++callers.ended;
            callers.served += response.status == 200 ? 1 : 0;
            if (response.body != "limit_reached\n")
                return;
            ++callers.refused;
            callers.refusedWithoutDelay += response.fields.count(http::field::retry_after) == 0 ? 1 : 0;
            callers.longestRefusal = std::max(callers.longestRefusal,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - sentAt));
        });
}

/// Keeps the times of requests that reach \a upstream.
void recordArrivals(TestUpstream& upstream, std::vector<Instant>& arrivals)
{
    const StandInSupport::HttpHandler regular = upstream.httpServer.handler;
    upstream.httpServer.handler = [&arrivals, regular](const StandInSupport::HttpRequest& request,
                                      const StandInSupport::ReplyFunction& reply) {
        if (request.path != "/grant" && request.path != "/release")
            arrivals.push_back(std::chrono::steady_clock::now());
        regular(request, reply);
    };
}

std::size_t mostInWindow(const std::vector<Instant>& arrivals, Instant from)
{
    std::size_t most = 0;
    for (auto it = std::lower_bound(arrivals.begin(), arrivals.end(), from); it != arrivals.end(); ++it) {
        const auto end = std::upper_bound(it, arrivals.end(), *it + window);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

void disturb(TestUpstream& limited, Disturbance disturbance, std::size_t round)
{
    constexpr std::size_t everyRounds = 40;
    if (disturbance == Disturbance::UpstreamFails && round % everyRounds == everyRounds / 2)
        limited.standIn.faults->fail = 2;
}

} // namespace

TEST_CASE("The limit that an upstream names is kept over all VMs", "[requestlimits]")
{
    const Row row = GENERATE(values<Row>({
        { "without keys", false, Disturbance::None },
        { "with keys", true, Disturbance::None },
        { "requests fail and are sent again", false, Disturbance::UpstreamFails },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& plain = addUpstream(environment, "i-1", "plain");
    TestUpstream& keyed = addUpstream(environment, "i-2", "keyed", true);
    TestUpstream& limited = row.keyed ? keyed : plain;
    std::vector<Instant> arrivals;
    recordArrivals(limited, arrivals);
    startReadyVm(environment);
    while (environment.vms.size() < vmCount)
        startVm(environment);
    runFor(environment, 7000ms);
    limited.standIn.limit = "1.5";
    const Instant namedAt = std::chrono::steady_clock::now();
    Callers callers;
    Callers others;
    constexpr std::size_t rounds = 240;
    for (std::size_t round = 0; round < rounds; ++round) {
        disturb(limited, row.disturbance, round);
        send(environment, callers, row.keyed);
        send(environment, others, !row.keyed);
        runFor(environment, requestGap);
    }
    CHECK(mostInWindow(arrivals, namedAt + stability) <= maxArrivals);
    const double seconds = std::chrono::duration<double>(requestGap * rounds).count();
    // Requests that the upstream fails use up its limit too.
    CHECK(static_cast<double>(arrivals.size()) >= limitPerSecond * seconds / 2);
    CHECK(callers.refused > 0);
    CHECK(callers.refusedWithoutDelay == 0);
    CHECK(callers.longestRefusal < 100ms);
    CHECK(runUntil(environment, [&others] { return others.ended == others.sent; }));
    CHECK(others.served == others.sent);

    limited.standIn.limit.clear();
    constexpr std::size_t roundsToNotice = 80;
    for (std::size_t round = 0; round < roundsToNotice; ++round) {
        send(environment, callers, row.keyed);
        runFor(environment, requestGap);
    }
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    Callers afterwards;
    for (std::size_t round = 0; round < 2 * vmCount; ++round) {
        send(environment, afterwards, row.keyed);
        runFor(environment, requestGap);
    }
    CHECK(runUntil(environment, [&afterwards] { return afterwards.ended == afterwards.sent; }));
    CHECK(afterwards.served == afterwards.sent);
}
