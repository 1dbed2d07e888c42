#include "scriptedupstream.h"

#include <catch2/catch.hpp>

#include <set>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/// Serves one request of each connection but never answers while it is full, nor anything later on such a
/// connection.
struct FillingUpstream {
    explicit FillingUpstream(TestEnvironment& environment)
        : upstream(environment)
    {
        this->upstream.script = [this, &environment](const ScriptedSessionPtr& session) {
            constexpr unsigned slots = 2;
            constexpr std::chrono::milliseconds workTime = 150ms;
            this->silentUses += this->silent.contains(session) ? 1 : 0;
            if (this->running >= slots || this->silent.contains(session)) {
                ++this->left;
                this->silent.insert(session);
                return;
            }
            ++this->running;
            const std::string response = "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Request-Id: "
                + std::string(session->request["X-Request-Id"])
                + "\r\nX-Server-Load: " + std::to_string(this->running) + ",0,2\r\nContent-Length: 0\r\n\r\n";
            writeLater(environment, session, response, workTime);
            const std::shared_ptr<boost::asio::steady_timer> timer
                = std::make_shared<boost::asio::steady_timer>(environment.context, workTime);
            timer->async_wait([this, timer](const boost::system::error_code&) { --this->running; });
        };
    }

    ScriptedUpstream upstream;
    unsigned running = 0;
    unsigned left = 0;
    std::set<ScriptedSessionPtr> silent;
    /// Requests on a connection on which one was left.
    unsigned silentUses = 0;
};

struct Callers {
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t served = 0;
    std::size_t rejected = 0;
};

void send(TestEnvironment& environment, const Edge::Service& vm, Callers& callers)
{
    Platform::HttpRequest request(http::verb::get, "/key/1", 11);
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", "k" + std::to_string(++callers.sent));
    request.set("X-Deadline-Ms", "700");
    request.set("X-Shard-Key", "7");
    request.prepare_payload();
    Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 3s,
        [&callers](const Edge::CallResponse& response) {
            ++callers.ended;
            callers.served += response.status == 200 ? 1 : 0;
            callers.rejected += response.status == 503 ? 1 : 0;
        });
}

} // namespace

TEST_CASE("A holder that leaves requests when it is full is not sent more than it queues", "[fullupstreams]")
{
    TestEnvironment environment;
    FillingUpstream holder(environment);
    startScriptedUpstream(holder.upstream, "i-1", "keyed");
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&holder] { return holder.upstream.grants > 0; }));
    runFor(environment, 50ms);
    Callers callers;
    constexpr unsigned rounds = 250;
    for (unsigned round = 0; round < rounds; ++round) {
        send(environment, vm, callers);
        runFor(environment, 30ms);
    }
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    CHECK(holder.silentUses == 0);
    CHECK(vm.node.counters.leftUnanswered > 0);
    const Balancing::UpstreamLoad& load = vm.node.traffic.upstreamStates[{ "i-1" }].load;
    CHECK(load.consecutiveFailures == 0);
    INFO("left " << holder.left << ", served " << callers.served << ", rejected " << callers.rejected);
    CHECK(callers.served > rounds / 5);
    CHECK(holder.left < rounds / 5);
}
