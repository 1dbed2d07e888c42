#pragma once

#include <edge/service.h>
#include <standins/platformserver/platformserver.h>
#include <standins/store/storeservice.h>
#include <standins/support/httpserver.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A test environment that runs a stand-in store, stand-in upstreams and VMs in the test's thread, on
/// loopback addresses.
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
    std::string zone = "z1";
    std::uint64_t startTimeMs = 1;
    std::uint64_t sequenceNumber = 0;
};

/// Sizes that the published configuration allows callers.
struct PublishedLimits {
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 1000000;
};

/// Access of a single VM to the store.
struct StoreAccess {
    explicit StoreAccess(boost::asio::io_context& context)
        : httpServer(context)
    {
    }

    StandInStore::StoreDoor door;
    StandInSupport::HttpServer httpServer;
};

struct TestEnvironment {
    TestEnvironment();
    TestEnvironment(const TestEnvironment&) = delete;
    TestEnvironment& operator=(const TestEnvironment&) = delete;

    boost::asio::io_context context;
    StandInStore::StoreService store;
    StandInSupport::HttpServer storeServer;
    /// Access to the store for VMs in another region than the store's.
    StandInStore::StoreDoor remoteStoreAccess;
    StandInSupport::HttpServer remoteStoreServer;
    /// Created by separateStoreAccess().
    std::vector<std::unique_ptr<StoreAccess>> storeAccesses;
    std::vector<std::unique_ptr<TestUpstream>> upstreams;
    std::vector<std::unique_ptr<Edge::Service>> vms;
    Edge::CallPool callPool;
    PublishedLimits callerLimits;
    /// Timeout of all published routes.
    std::chrono::milliseconds routeTimeout { 1500 };
    /// Regions of the availability zones; VMs are started in "z1".
    std::map<Utils::ZoneId, Utils::RegionId> regionByZone { { { "z1" }, { "r1" } } };
    /// Home regions of the published routes, by the first part of their path.
    std::map<std::string, std::string> homeRegions;
    /// Further services of the published configurations, each with a route /NAME/.
    std::vector<std::string> extraServices;
    /// Whether the VMs are told that the whole system starts for the first time.
    bool isFirstStart = false;
};

/// Returns an address of 127.0.0.0/8 that no other test process uses at the same time.
std::string uniqueLoopbackAddress(unsigned number);

/// Adds an upstream of \a service and publishes its entry.
TestUpstream& addUpstream(TestEnvironment& environment, const std::string& id, const std::string& service,
    bool keyed = false, const std::string& zone = "z1");

/// Publishes the upstream's entry in the store with the next sequence number.
void publishUpstreamEntry(
    TestEnvironment& environment, TestUpstream& upstream, const std::string& state = "ready");

/// Publishes under \a key an entry as another writer would: it has all fields, but its service is one that no
/// configuration names.
void publishForeignEntry(TestEnvironment& environment, const std::string& key, const std::string& address,
    std::uint64_t startTimeMs);

/// The address of an upstream as its entry has it.
std::string addressOf(const TestUpstream& upstream);

/// Removes the upstream's entry from the store.
void removeUpstreamEntry(TestEnvironment& environment, const TestUpstream& upstream);

/// Publishes or, without \a isAsked, removes the evacuation of the availability zone \a zone.
void publishEvacuation(TestEnvironment& environment, const std::string& zone, bool isAsked);

/// Publishes a configuration: /safe/ and /unsafe/ go to "plain", /key/ to "keyed".
void publishConfiguration(TestEnvironment& environment, unsigned version, const std::string& extraRule = "");

/// Starts a VM in the store's region, or in another one if \a storeIsRemote.
/// The first VMs are its seeds if \a hasSeeds.
Edge::Service& startVm(TestEnvironment& environment, bool storeIsRemote = false, bool hasSeeds = false);

/// Lets the next calls of \a vm to the store go through a way of its own, which it shares with no other VM.
StandInStore::StoreDoor& separateStoreAccess(TestEnvironment& environment, Edge::Service& vm);

/// Makes the VM at \a index appear terminated to the others.
void killVm(TestEnvironment& environment, std::size_t index);

/// Runs all parts until \a done is true or \a timeout has passed. Returns whether it became true.
bool runUntil(TestEnvironment& environment, const std::function<bool()>& done,
    std::chrono::milliseconds timeout = std::chrono::milliseconds(6000));

/// Runs all parts for \a time.
void runFor(TestEnvironment& environment, std::chrono::milliseconds time);

/// The response to a caller's request.
struct CallerResponse {
    Edge::CallOutcome outcome = Edge::CallOutcome::NotConnected;
    unsigned status = 0;
    std::string body;
    std::string serverStamp;
    std::string retryAfter;
    std::chrono::milliseconds elapsed {};
};

/// Parameters of a caller's request.
struct CallerRequest {
    std::string path = "/safe/1";
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string host = "a.example";
    unsigned deadlineMs = 2000;
    std::optional<unsigned> key;
    std::string body;
};

/// Sends a request to \a vm and runs all parts until the response arrives.
CallerResponse sendRequest(
    TestEnvironment& environment, const Edge::Service& vm, const CallerRequest& callerRequest);

/// Publishes a configuration, starts one VM and waits until it is ready. Upstreams are added before.
Edge::Service& startReadyVm(TestEnvironment& environment);

} // namespace EdgeTest
