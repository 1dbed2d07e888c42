#pragma once

#include <edge/service.h>
#include <standins/platformserver/platformserver.h>
#include <standins/store/storeservice.h>
#include <standins/support/httpserver.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A store, servers and VMs within the test's thread, on loopback addresses of their own.
namespace EdgeTest {

struct TestUpstream {
    explicit TestUpstream(boost::asio::io_context& context)
        : standIn(context)
        , httpServer(context)
    {
    }

    StandInServer::PlatformServer standIn;
    StandInSupport::HttpServer httpServer;
    std::string service;
    std::uint64_t startTimeMs = 1;
    std::uint64_t sequenceNumber = 0;
};

struct TestEnvironment {
    TestEnvironment();
    TestEnvironment(const TestEnvironment&) = delete;
    TestEnvironment& operator=(const TestEnvironment&) = delete;

    boost::asio::io_context context;
    StandInStore::StoreService store;
    StandInSupport::HttpServer storeServer;
    /// How VMs of another region than the store's reach it.
    StandInStore::StoreDoor remoteStoreAccess;
    StandInSupport::HttpServer remoteStoreServer;
    std::vector<std::unique_ptr<TestUpstream>> upstreams;
    std::vector<std::unique_ptr<Edge::Service>> vms;
    Edge::CallPool callPool;
};

/// An address of 127.0.0.0/8 that no other test process uses at the same time.
std::string uniqueLoopbackAddress(unsigned number);

/// Adds a server of \a service and its entry.
TestUpstream& addUpstream(
    TestEnvironment& world, const std::string& id, const std::string& service, bool keyed = false);

/// Writes the server's entry again.
void publishUpstreamEntry(TestEnvironment& world, TestUpstream& server, const std::string& state = "ready");

/// Drops the server's entry.
void removeUpstreamEntry(TestEnvironment& world, const TestUpstream& server);

/// Publishes a configuration: /safe/ and /unsafe/ go to "plain", /key/ to "keyed".
void publishConfiguration(TestEnvironment& world, unsigned version, const std::string& extraRule = "");

/// Starts a VM, near the store or in another region.
Edge::Service& startVm(TestEnvironment& world, bool far = false);

/// Kills the VM at \a index, as far as others can see.
void killVm(TestEnvironment& world, std::size_t index);

/// Runs everything until \a done, at most for \a most; whether it came true.
bool runUntil(TestEnvironment& world, const std::function<bool()>& done,
    std::chrono::milliseconds most = std::chrono::milliseconds(6000));

/// Lets everything go on for \a time.
void runFor(TestEnvironment& world, std::chrono::milliseconds time);

/// One request of a caller and its answer.
struct CallerResponse {
    Edge::CallOutcome outcome = Edge::CallOutcome::NotConnected;
    unsigned status = 0;
    std::string body;
    std::string serverStamp;
    std::string retryAfter;
    std::chrono::milliseconds elapsed {};
};

/// What a caller asks for.
struct CallerRequest {
    std::string path = "/safe/1";
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string host = "a.example";
    unsigned deadlineMs = 2000;
    std::optional<unsigned> key;
    std::string body;
};

/// Asks a VM and runs everything until the answer is there.
CallerResponse sendRequest(TestEnvironment& world, const Edge::Service& vm, const CallerRequest& question);

/// Starts a world with one VM that is ready; servers are given before.
Edge::Service& startReadyVm(TestEnvironment& world);

} // namespace EdgeTest
