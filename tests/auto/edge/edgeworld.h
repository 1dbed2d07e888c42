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

struct Server {
    explicit Server(boost::asio::io_context& context)
        : state(context)
        , http(context)
    {
    }

    StandInServer::PlatformServer state;
    StandInSupport::HttpServer http;
    std::string service;
    std::uint64_t born = 1;
    std::uint64_t sequence = 0;
};

struct World {
    World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    boost::asio::io_context context;
    StandInStore::StoreService store;
    StandInSupport::HttpServer storeHttp;
    /// How VMs of another region than the store's reach it.
    StandInStore::StoreDoor farDoor;
    StandInSupport::HttpServer farHttp;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Edge::Service>> vms;
    Edge::CallPool callers;
};

/// An address of 127.0.0.0/8 that no other test process uses at the same time.
std::string ownAddress(unsigned number);

/// Adds a server of \a service and its entry.
Server& addServer(World& world, const std::string& id, const std::string& service, bool keyed = false);

/// Writes the server's entry again.
void report(World& world, Server& server, const std::string& state = "ready");

/// Drops the server's entry.
void unregister(World& world, const Server& server);

/// Publishes a configuration: /safe/ and /unsafe/ go to "plain", /key/ to "keyed".
void publish(World& world, unsigned version, const std::string& extraRule = "");

/// Starts a VM, near the store or in another region.
Edge::Service& addVm(World& world, bool far = false);

/// Kills the VM at \a index, as far as others can see.
void endVm(World& world, std::size_t index);

/// Runs everything until \a done, at most for \a most; whether it came true.
bool runUntil(World& world, const std::function<bool()>& done,
    std::chrono::milliseconds most = std::chrono::milliseconds(6000));

/// Lets everything go on for \a time.
void runFor(World& world, std::chrono::milliseconds time);

/// One request of a caller and its answer.
struct Answer {
    Edge::CallOutcome outcome = Edge::CallOutcome::NotConnected;
    unsigned status = 0;
    std::string body;
    std::string stamp;
    std::string retryAfter;
    std::chrono::milliseconds took {};
};

/// What a caller asks for.
struct Question {
    std::string path = "/safe/1";
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string host = "a.example";
    unsigned deadlineMs = 2000;
    std::optional<unsigned> key;
    std::string body;
};

/// Asks a VM and runs everything until the answer is there.
Answer ask(World& world, const Edge::Service& vm, const Question& question);

/// Starts a world with one VM that is ready; servers are given before.
Edge::Service& startReady(World& world);

} // namespace EdgeTest
