#include "testenvironment.h"

#include <logging/log.h>
#include <platform/headers.h>

#include <algorithm>
#include <cstdlib>

#include <unistd.h>

namespace EdgeTest {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t storePort = 18642;
constexpr std::uint16_t remoteStorePort = 18643;
/// Round-trip time between regions, as on the platform.
constexpr std::chrono::milliseconds interRegionRoundTrip(40);
constexpr std::uint16_t callersPort = 18641;
constexpr std::uint16_t readinessPort = 18640;
constexpr std::uint16_t internalPort = 18620;

const char* const configurationHead = R"("listeners":[{"host":"a.example","rules":[)";
const char* const configurationClusters
    = R"(]}],"clusters":[{"name":"plain","health_path":"/health","max_conns":9},)"
      R"({"name":"keyed","health_path":"/health","max_conns":9,"sharded":true,"warm":"2s"})";

std::string makeRule(const TestEnvironment& environment, const std::string& prefix, const std::string& kind,
    const std::string& service)
{
    const auto homes = environment.homeRegions.find(prefix);
    return R"({"name":"r-)" + prefix + R"(","kind":")" + kind
        + R"(","target_latency":"800ms","priority":1,"match":{"path_prefix":"/)" + prefix
        + R"(/"},"action":{"service":")" + service + R"(","timeout":")"
        + std::to_string(environment.routeTimeout.count()) + R"(ms","max_attempts":3)"
        + (homes == environment.homeRegions.end() ? "" : R"(,"home_regions":[")" + homes->second + R"("])")
        + "}}";
}

unsigned lastAddressNumber = 0;

} // namespace

TestEnvironment::TestEnvironment()
    : store(this->context)
    , storeServer(this->context)
    , remoteStoreServer(this->context)
    , callPool(this->context)
{
    Logging::configure(std::getenv("CROCUS_TEST_LOG") ? Logging::Level::Info : Logging::Level::Error, "test");
    StandInSupport::startServing(this->storeServer,
        uniqueLoopbackAddress(0) + ":" + std::to_string(storePort), StandInStore::handlerOf(this->store));
    this->remoteStoreAccess.way = interRegionRoundTrip;
    StandInSupport::startServing(this->remoteStoreServer,
        uniqueLoopbackAddress(0) + ":" + std::to_string(remoteStorePort),
        StandInStore::handlerOf(this->store, this->remoteStoreAccess));
    lastAddressNumber = 0;
}

std::string uniqueLoopbackAddress(unsigned number)
{
    const unsigned process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(16 + process / 250 % 200) + "." + std::to_string(process % 250) + "."
        + std::to_string(1 + number);
}

TestUpstream& addUpstream(TestEnvironment& environment, const std::string& id, const std::string& service,
    bool keyed, const std::string& zone)
{
    environment.upstreams.push_back(std::make_unique<TestUpstream>(environment.context));
    TestUpstream& upstream = *environment.upstreams.back();
    upstream.standIn.id = id;
    upstream.standIn.keyed = keyed;
    upstream.service = service;
    upstream.zone = zone;
    StandInSupport::startServing(upstream.httpServer, uniqueLoopbackAddress(++lastAddressNumber) + ":0",
        StandInServer::handlerOf(upstream.standIn));
    publishUpstreamEntry(environment, upstream);
    return upstream;
}

void publishUpstreamEntry(TestEnvironment& environment, TestUpstream& upstream, const std::string& state)
{
    StandInStore::putRecord(environment.store, "keyed.servers", upstream.standIn.id,
        R"({"address":")" + addressOf(upstream) + R"(","info":{"service":")" + upstream.service
            + R"(","version":"v1","zone":")" + upstream.zone + R"(","slots":2},"status":{"state":")" + state
            + R"(","seq_no":)" + std::to_string(++upstream.sequenceNumber) + R"(,"cold_left":"0ms"},"born":)"
            + std::to_string(upstream.startTimeMs) + "}");
}

void publishForeignEntry(TestEnvironment& environment, const std::string& key, const std::string& address,
    std::uint64_t startTimeMs)
{
    StandInStore::putRecord(environment.store, "keyed.servers", key,
        R"({"address":")" + address
            + R"(","info":{"service":"inventory","version":"v1","zone":"z1","slots":2},"status":{"state":"ready",)"
            + R"("seq_no":1,"cold_left":"0ms"},"born":)" + std::to_string(startTimeMs) + "}");
}

std::string addressOf(const TestUpstream& upstream)
{
    boost::system::error_code ignored;
    return upstream.httpServer.acceptor.local_endpoint(ignored).address().to_string() + ":"
        + std::to_string(StandInSupport::portOf(upstream.httpServer));
}

void removeUpstreamEntry(TestEnvironment& environment, const TestUpstream& upstream)
{
    StandInStore::putRecord(environment.store, "keyed.servers", upstream.standIn.id, "");
}

void publishEvacuation(TestEnvironment& environment, const std::string& zone, bool isAsked)
{
    StandInStore::putRecord(environment.store, "keyed.op", "evacuate/" + zone, isAsked ? "{}" : "");
}

void publishConfiguration(TestEnvironment& environment, unsigned version, const std::string& extraRule)
{
    std::string extra = extraRule.empty() ? "" : "," + makeRule(environment, extraRule, "safe", "plain");
    std::string clusters = configurationClusters;
    for (const std::string& service : environment.extraServices) {
        extra += "," + makeRule(environment, service, "safe", service);
        clusters += R"(,{"name":")" + service + R"(","health_path":"/health","max_conns":9})";
    }
    StandInStore::putRecord(environment.store, "keyed.op", "config",
        R"({"version":"r)" + std::to_string(version) + R"(","limits":{"header_bytes":)"
            + std::to_string(environment.callerLimits.headerBytes) + R"(,"body_bytes":)"
            + std::to_string(environment.callerLimits.bodyBytes)
            + R"(,"header":"3000ms","idle_timeout":"15000ms"},)" + configurationHead
            + makeRule(environment, "safe", "safe", "plain") + ","
            + makeRule(environment, "unsafe", "unsafe", "plain") + ","
            + makeRule(environment, "key", "safe", "keyed") + extra + clusters + "]}");
}

Edge::Service& startVm(TestEnvironment& environment, bool storeIsRemote, bool hasSeeds)
{
    Routing::VmSettings settings;
    settings.isFirstStart = environment.isFirstStart;
    settings.address = uniqueLoopbackAddress(100 + static_cast<unsigned>(environment.vms.size()));
    settings.name = { "vm-" + settings.address };
    settings.zone = { "z1" };
    for (std::size_t vm = 0; hasSeeds && vm < std::min<std::size_t>(environment.vms.size(), 3); ++vm)
        settings.seeds.push_back(environment.vms[vm]->node.settings.address);
    settings.region = { "r1" };
    settings.regionByZone = environment.regionByZone;
    settings.callerEndpoint = { settings.address, callersPort };
    settings.readinessEndpoint = { settings.address, readinessPort };
    settings.firstInternalPort = internalPort;
    settings.lastInternalPort = internalPort + 5;
    settings.storeEndpoint = { uniqueLoopbackAddress(0), storeIsRemote ? remoteStorePort : storePort };
    environment.vms.push_back(
        std::make_unique<Edge::Service>(environment.context, settings, 1000 + environment.vms.size()));
    Edge::Service& vm = *environment.vms.back();
    // A VM that has just started has no share of the slack of the retry budget.
    vm.node.relay.vmCount = 1;
    vm.node.startedAt -= settings.operatingLimits.retryWindow;
    vm.loadSettings = [settings] { return settings; };
    Edge::startService(vm);
    return vm;
}

StandInStore::StoreDoor& separateStoreAccess(TestEnvironment& environment, Edge::Service& vm)
{
    environment.storeAccesses.push_back(std::make_unique<StoreAccess>(environment.context));
    StoreAccess& access = *environment.storeAccesses.back();
    const bool isRemote = vm.node.settings.storeEndpoint.port == remoteStorePort;
    access.door.way = isRemote ? interRegionRoundTrip : std::chrono::milliseconds(0);
    const std::string address
        = uniqueLoopbackAddress(200 + static_cast<unsigned>(environment.storeAccesses.size()));
    StandInSupport::startServing(access.httpServer, address + ":" + std::to_string(storePort),
        StandInStore::handlerOf(environment.store, access.door));
    vm.node.settings.storeEndpoint = { address, storePort };
    return access.door;
}

void killVm(TestEnvironment& environment, std::size_t index)
{
    // The VM object is kept: the handlers of its pending operations run after their sockets are closed.
    Edge::Service& vm = *environment.vms[index];
    vm.node.stopping = true;
    boost::system::error_code ignored;
    vm.node.relay.acceptor.close(ignored);
    vm.node.relay.timer.cancel();
    vm.node.leader.timer.cancel();
    vm.node.topicFollowers.leader.paused = true;
    for (auto it = vm.node.relay.subscribers.begin(); it != vm.node.relay.subscribers.end(); ++it)
        it->second->socket.close(ignored);
}

bool runUntil(
    TestEnvironment& environment, const std::function<bool()>& done, std::chrono::milliseconds timeout)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    environment.context.restart();
    while (!done()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        environment.context.run_one_for(10ms);
    }
    return true;
}

void runFor(TestEnvironment& environment, std::chrono::milliseconds time)
{
    environment.context.restart();
    environment.context.run_for(time);
}

CallerResponse sendRequest(
    TestEnvironment& environment, const Edge::Service& vm, const CallerRequest& callerRequest)
{
    static unsigned lastRequest = 0;
    Platform::HttpRequest request(callerRequest.method, callerRequest.path, 11);
    request.set(http::field::host, callerRequest.host);
    request.set("X-Request-Id", "q" + std::to_string(++lastRequest));
    request.set("X-Deadline-Ms", std::to_string(callerRequest.deadlineMs));
    if (callerRequest.key)
        request.set("X-Shard-Key", std::to_string(*callerRequest.key));
    request.body() = callerRequest.body;
    request.prepare_payload();
    std::optional<CallerResponse> response;
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 5s,
        [&response, start](const Edge::CallResponse& callResponse) {
            CallerResponse received;
            received.outcome = callResponse.outcome;
            received.status = callResponse.status;
            received.body = callResponse.body;
            received.serverStamp = std::string(callResponse.fields["X-Server-Stamp"]);
            received.retryAfter = std::string(callResponse.fields["Retry-After"]);
            received.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
            response = received;
        });
    runUntil(environment, [&response] { return response.has_value(); });
    return response.value_or(CallerResponse {});
}

Edge::Service& startReadyVm(TestEnvironment& environment)
{
    publishConfiguration(environment, 1);
    Edge::Service& vm = startVm(environment);
    runUntil(
        environment, [&vm] { return vm.node.clusterView.routeTable && vm.node.clusterView.directoryLoaded; });
    return vm;
}

} // namespace EdgeTest
