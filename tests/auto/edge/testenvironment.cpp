#include "testenvironment.h"

#include <logging/log.h>
#include <platform/headers.h>

#include <unistd.h>

namespace EdgeTest {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t storePort = 18642;
constexpr std::uint16_t farStorePort = 18643;
/// There and back, as in the site files.
constexpr std::chrono::milliseconds wayBetweenRegions(40);
constexpr std::uint16_t callersPort = 18641;
constexpr std::uint16_t readinessPort = 18640;
constexpr std::uint16_t internalPort = 18620;

const char* const configurationHead
    = R"("limits":{"header_bytes":16384,"body_bytes":1000000,"header":"3000ms","idle_timeout":"15000ms"},)"
      R"("listeners":[{"host":"a.example","rules":[)";
const char* const configurationTail
    = R"(]}],"clusters":[{"name":"plain","health_path":"/health","max_conns":9},)"
      R"({"name":"keyed","health_path":"/health","max_conns":9,"sharded":true,"warm":"2s"}]})";

std::string rule(const std::string& prefix, const std::string& kind, const std::string& service)
{
    return R"({"name":"r-)" + prefix + R"(","kind":")" + kind
        + R"(","target_latency":"800ms","priority":1,"match":{"path_prefix":"/)" + prefix
        + R"(/"},"action":{"service":")" + service + R"(","timeout":"1500ms","max_attempts":3}})";
}

unsigned lastAddress = 0;

} // namespace

TestEnvironment::TestEnvironment()
    : store(this->context)
    , storeServer(this->context)
    , remoteStoreServer(this->context)
    , callPool(this->context)
{
    Logging::configure(Logging::Level::Error, "test");
    StandInSupport::startServing(this->storeServer,
        uniqueLoopbackAddress(0) + ":" + std::to_string(storePort), StandInStore::handlerOf(this->store));
    this->remoteStoreAccess.way = wayBetweenRegions;
    StandInSupport::startServing(this->remoteStoreServer,
        uniqueLoopbackAddress(0) + ":" + std::to_string(farStorePort),
        StandInStore::handlerOf(this->store, this->remoteStoreAccess));
    lastAddress = 0;
}

std::string uniqueLoopbackAddress(unsigned number)
{
    const unsigned process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(16 + process / 250 % 200) + "." + std::to_string(process % 250) + "."
        + std::to_string(1 + number);
}

TestUpstream& addUpstream(
    TestEnvironment& world, const std::string& id, const std::string& service, bool keyed)
{
    world.upstreams.push_back(std::make_unique<TestUpstream>(world.context));
    TestUpstream& server = *world.upstreams.back();
    server.standIn.id = id;
    server.standIn.keyed = keyed;
    server.service = service;
    StandInSupport::startServing(server.httpServer, uniqueLoopbackAddress(++lastAddress) + ":0",
        StandInServer::handlerOf(server.standIn));
    publishUpstreamEntry(world, server);
    return server;
}

void publishUpstreamEntry(TestEnvironment& world, TestUpstream& server, const std::string& state)
{
    boost::system::error_code ignored;
    const std::string address = server.httpServer.acceptor.local_endpoint(ignored).address().to_string() + ":"
        + std::to_string(StandInSupport::portOf(server.httpServer));
    StandInStore::putRecord(world.store, "keyed.servers", server.standIn.id,
        R"({"address":")" + address + R"(","info":{"service":")" + server.service
            + R"(","version":"v1","zone":"z1","slots":2},"status":{"state":")" + state + R"(","seq_no":)"
            + std::to_string(++server.sequenceNumber) + R"(,"cold_left":"0ms"},"born":)"
            + std::to_string(server.startTimeMs) + "}");
}

void removeUpstreamEntry(TestEnvironment& world, const TestUpstream& server)
{
    StandInStore::putRecord(world.store, "keyed.servers", server.standIn.id, "");
}

void publishConfiguration(TestEnvironment& world, unsigned version, const std::string& extraRule)
{
    const std::string extra = extraRule.empty() ? "" : "," + rule(extraRule, "safe", "plain");
    StandInStore::putRecord(world.store, "keyed.op", "config",
        R"({"version":"r)" + std::to_string(version) + "\"," + configurationHead
            + rule("safe", "safe", "plain") + "," + rule("unsafe", "unsafe", "plain") + ","
            + rule("key", "safe", "keyed") + extra + configurationTail);
}

Edge::Service& startVm(TestEnvironment& world, bool far)
{
    Routing::VmSettings settings;
    settings.address = uniqueLoopbackAddress(100 + static_cast<unsigned>(world.vms.size()));
    settings.name = { "vm-" + settings.address };
    settings.zone = { "z1" };
    settings.region = { "r1" };
    settings.regionByZone = { { { "z1" }, { "r1" } } };
    settings.callerEndpoint = { settings.address, callersPort };
    settings.readinessEndpoint = { settings.address, readinessPort };
    settings.firstInternalPort = internalPort;
    settings.storeEndpoint = { uniqueLoopbackAddress(0), far ? farStorePort : storePort };
    world.vms.push_back(std::make_unique<Edge::Service>(world.context, settings, 1000 + world.vms.size()));
    Edge::Service& vm = *world.vms.back();
    vm.loadSettings = [settings] { return settings; };
    Edge::startService(vm);
    return vm;
}

void killVm(TestEnvironment& world, std::size_t index)
{
    // Its pending operations end with its sockets; the handlers must run before it goes.
    Edge::Service& vm = *world.vms[index];
    vm.node.stopping = true;
    boost::system::error_code ignored;
    vm.node.relay.acceptor.close(ignored);
    vm.node.relay.timer.cancel();
    vm.node.leader.timer.cancel();
    vm.node.topicFollowers.leader.paused = true;
    for (auto it = vm.node.relay.subscribers.begin(); it != vm.node.relay.subscribers.end(); ++it)
        it->second->socket.close(ignored);
}

bool runUntil(TestEnvironment& world, const std::function<bool()>& done, std::chrono::milliseconds most)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + most;
    world.context.restart();
    while (!done()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        world.context.run_one_for(10ms);
    }
    return true;
}

void runFor(TestEnvironment& world, std::chrono::milliseconds time)
{
    world.context.restart();
    world.context.run_for(time);
}

CallerResponse sendRequest(TestEnvironment& world, const Edge::Service& vm, const CallerRequest& question)
{
    static unsigned lastRequest = 0;
    Platform::HttpRequest request(question.method, question.path, 11);
    request.set(http::field::host, question.host);
    request.set("X-Request-Id", "q" + std::to_string(++lastRequest));
    request.set("X-Deadline-Ms", std::to_string(question.deadlineMs));
    if (question.key)
        request.set("X-Shard-Key", std::to_string(*question.key));
    request.body() = question.body;
    request.prepare_payload();
    std::optional<CallerResponse> answer;
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    Edge::startCall(world.callPool, vm.node.settings.callerEndpoint, std::move(request), 5s,
        [&answer, start](const Edge::CallResponse& reply) {
            CallerResponse got;
            got.outcome = reply.outcome;
            got.status = reply.status;
            got.body = reply.body;
            got.serverStamp = std::string(reply.fields["X-Server-Stamp"]);
            got.retryAfter = std::string(reply.fields["Retry-After"]);
            got.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
            answer = got;
        });
    runUntil(world, [&answer] { return answer.has_value(); });
    return answer.value_or(CallerResponse {});
}

Edge::Service& startReadyVm(TestEnvironment& world)
{
    publishConfiguration(world, 1);
    Edge::Service& vm = startVm(world);
    runUntil(world, [&vm] { return vm.node.clusterView.routeTable && vm.node.clusterView.directoryLoaded; });
    return vm;
}

} // namespace EdgeTest
