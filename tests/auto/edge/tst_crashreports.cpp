#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/crashreports.h>
#include <edge/sourcelinks.h>
#include <relay/crashreportframe.h>
#include <relay/framecodec.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace EdgeTest;
using namespace std::chrono_literals;
using Kind = Relay::CrashReport::Kind;
using Udp = boost::asio::ip::udp;

namespace {

constexpr std::uint16_t reportPort = 18625;
constexpr std::chrono::milliseconds flushInterval = 100ms;

/// A member that only receives datagrams.
struct Member {
    explicit Member(boost::asio::io_context& context, const std::string& address)
        : socket(context, Udp::endpoint(boost::asio::ip::make_address(address), reportPort))
    {
        socket.non_blocking(true);
    }

    Udp::socket socket;
    std::size_t bytes = 0;
    std::size_t crashes = 0;
};

/// A VM without a relay source that knows \c members.
struct VmWithoutSource {
    explicit VmWithoutSource(std::size_t memberCount)
        : node(context, settings(), 1)
    {
        for (std::size_t number = 0; number < memberCount; ++number) {
            const std::string address = uniqueLoopbackAddress(101 + static_cast<unsigned>(number));
            members.push_back(std::make_unique<Member>(context, address));
            node.relay.members[address] = Edge::now();
        }
        Edge::startCrashReports(node);
    }

    static Routing::VmSettings settings()
    {
        Routing::VmSettings settings;
        settings.address = uniqueLoopbackAddress(100);
        settings.firstInternalPort = reportPort;
        return settings;
    }

    boost::asio::io_context context;
    Edge::Node node;
    std::vector<std::unique_ptr<Member>> members;
};

void queueReports(VmWithoutSource& vm, Kind kind, std::size_t count)
{
    constexpr unsigned repeats = 3;
    static std::uint64_t lastId = 0;
    for (std::size_t number = 0; number < count; ++number) {
        Edge::QueuedCrashReport queued;
        queued.kind = kind;
        queued.attempt.id = ++lastId;
        queued.attempt.fingerprint = lastId * 0x9e3779b97f4a7c15ULL;
        queued.attempt.upstream = lastId;
        queued.attempt.sentAt = queued.attempt.endedAt = queued.queuedAt = Edge::now();
        queued.isOwn = true;
        queued.datagramsLeft = repeats;
        vm.node.crashReporting.queue.push_back(queued);
    }
}

void countReceived(Member& member)
{
    std::array<char, 4096> buffer {};
    boost::system::error_code error;
    while (true) {
        const std::size_t size = member.socket.receive(boost::asio::buffer(buffer), 0, error);
        if (error)
            return;
        member.bytes += size;
        std::string bytes(buffer.data(), size);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(frame, Relay::extractFrame(bytes));
                for (const Relay::CrashReport& report : std::get<Relay::CrashReportFrame>(*frame).reports)
                    member.crashes += report.kind == Kind::Crash ? 1 : 0;
                return {};
            },
            [] { FAIL("a datagram can't be read"); });
    }
}

/// Flushes the reports of \a vm and counts what the members receive.
void flush(VmWithoutSource& vm)
{
    Edge::flushCrashReports(vm.node);
    for (const std::unique_ptr<Member>& member : vm.members)
        countReceived(*member);
}

std::size_t receivedBytes(const VmWithoutSource& vm)
{
    std::size_t bytes = 0;
    for (const std::unique_ptr<Member>& member : vm.members)
        bytes += member->bytes;
    return bytes;
}

} // namespace

TEST_CASE("VMs without a source don't fill their links with crash reports", "[crashreports]")
{
    // Guards against a region that does not find its sources again: each VM sent all of its reports to all
    // members, three times, which filled the link between the regions.
    constexpr std::size_t memberCount = 120;
    constexpr std::size_t reportsPerFlush = 3;
    // A VM may spend 8 KB a second on control; a burst of three seconds may come first.
    constexpr double bytesPerSecond = 8000;
    constexpr double maxBurst = 3 * bytesPerSecond;
    VmWithoutSource vm(memberCount);
    const Utils::Instant start = Edge::now();
    while (Edge::now() - start < 3s) {
        queueReports(vm, Kind::Response, reportsPerFlush);
        flush(vm);
        std::this_thread::sleep_for(flushInterval);
    }
    const double elapsed = std::chrono::duration<double>(Edge::now() - start).count();
    CHECK(receivedBytes(vm) > 0);
    CHECK(static_cast<double>(receivedBytes(vm)) <= maxBurst + elapsed * bytesPerSecond);
    // A crash is more urgent than all that waits.
    queueReports(vm, Kind::Crash, 1);
    for (unsigned round = 0; round < 10; ++round) {
        flush(vm);
        std::this_thread::sleep_for(flushInterval);
    }
    std::size_t informed = 0;
    for (const std::unique_ptr<Member>& member : vm.members)
        informed += member->crashes > 0 ? 1 : 0;
    CHECK(informed >= 12);
}

TEST_CASE("A crash report reaches all VMs of a small fleet at once", "[crashreports]")
{
    VmWithoutSource vm(11);
    queueReports(vm, Kind::Crash, 1);
    flush(vm);
    for (const std::unique_ptr<Member>& member : vm.members)
        CHECK(member->crashes == 1);
}

TEST_CASE("A VM that asks a peer for a source sends it no crash reports", "[crashreports]")
{
    // Guards against a region whose VMs each send all crashes that they know with every attempt.
    constexpr std::size_t knownCrashes = 50;
    VmWithoutSource vm(0);
    for (std::uint64_t number = 1; number <= knownCrashes; ++number) {
        Balancing::AttemptObservation crash;
        crash.id = crash.fingerprint = crash.upstream = number;
        crash.sentAt = crash.endedAt = Edge::now();
        REQUIRE(Balancing::recordCrash(vm.node.traffic.poisonRequests, crash));
    }
    const std::string address = uniqueLoopbackAddress(101);
    boost::asio::ip::tcp::acceptor acceptor(
        vm.context, { boost::asio::ip::make_address(address), reportPort });
    Edge::Internal::connectTo(vm.node, {}, { address, reportPort });
    boost::asio::ip::tcp::socket peer = acceptor.accept();
    vm.context.run_for(200ms);
    peer.non_blocking(true);
    std::array<char, 65536> buffer {};
    boost::system::error_code error;
    std::string received(buffer.data(), peer.read_some(boost::asio::buffer(buffer), error));
    REQUIRE_FALSE(error);
    const bool isSubscription = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(frame, Relay::extractFrame(received));
            return frame && std::holds_alternative<Relay::Subscription>(*frame);
        },
        [] { return false; });
    CHECK(isSubscription);
    CHECK(received.empty());
}
