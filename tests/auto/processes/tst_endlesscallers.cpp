#include "../edge/testenvironment.h"
#include "endlesscaller.h"

#include <soak/vmprocess.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <memory>

#include <sys/wait.h>

using namespace EdgeTest;
using namespace ProcessTest;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Limits of the VM, lower than any of the platform's.
constexpr unsigned memoryMegabytes = 64;
constexpr std::size_t maxDescriptors = 64;
constexpr std::uint64_t headerBytes = 4096;
constexpr std::uint64_t bodyBytes = 65536;
/// What is sent without a limit on its way is twice the memory.
constexpr std::size_t callerCount = 6;
constexpr std::uint64_t bytesPerCaller = 24ULL << 20;

constexpr std::uint16_t callersPort = 18641;
constexpr std::uint16_t readinessPort = 18640;
constexpr std::uint16_t firstInternalPort = 18620;
constexpr std::uint16_t forwardingPort = firstInternalPort + 1;
constexpr std::uint16_t storePort = 18642;

/// A process of the daemon, ended with the test.
struct DaemonProcess {
    DaemonProcess()
    {
        this->vm.address = uniqueLoopbackAddress(100);
        this->vm.name = "vm-1";
        this->vm.program = EDGE_PROGRAM;
        const std::filesystem::path folder
            = std::filesystem::temp_directory_path() / ("endlesscallers-" + this->vm.address);
        std::filesystem::create_directories(folder);
        this->vm.settingsPath = folder / "settings.toml";
        this->vm.logPath = folder / "log";
        this->vm.settings = "node_name = \"vm-1\"\nip = \"" + this->vm.address
            + "\"\nzone = \"z1\"\nregion = \"r1\"\n[self.limits]\ncpu_share = 0.2\nmemory_mb = "
            + std::to_string(memoryMegabytes) + "\nmax_fds = " + std::to_string(maxDescriptors)
            + "\n[network]\ninternal_ports = [" + std::to_string(firstInternalPort) + ","
            + std::to_string(firstInternalPort + 5) + "]\n[network.listen]\nfront = \"" + this->vm.address
            + ":" + std::to_string(callersPort) + "\"\nready = \"" + this->vm.address + ":"
            + std::to_string(readinessPort)
            + "\"\n[network.zones]\nz1 = \"r1\"\n[platform.platform]\naddress = \"" + uniqueLoopbackAddress(0)
            + ":" + std::to_string(storePort)
            + "\"\n[terms.bounds]\ndrain = \"2500ms\"\ngrace = \"6s\"\napply = \"2500ms\"\nretry_ratio = "
              "0.2\n"
              "retry_window = \"10s\"\nretry_slack = 60\nhold_max = \"10000ms\"\n";
        REQUIRE(Soak::startProcess(this->vm));
    }
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    ~DaemonProcess()
    {
        if (this->vm.pid > 0) {
            ::kill(this->vm.pid, SIGKILL);
            ::waitpid(this->vm.pid, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(std::filesystem::path(this->vm.settingsPath).parent_path(), ignored);
    }

    Soak::VmProcess vm;
};

std::size_t countDescriptors(const Soak::VmProcess& vm)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(vm.pid) + "/fd", std::filesystem::directory_options::none, error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

unsigned statusOfOrdinaryRequest(TestEnvironment& environment, const Soak::VmProcess& vm)
{
    static unsigned lastRequest = 0;
    Platform::HttpRequest request(boost::beast::http::verb::get, "/safe/1", 11);
    request.set(boost::beast::http::field::host, "a.example");
    request.set("X-Request-Id", "o" + std::to_string(++lastRequest));
    request.set("X-Deadline-Ms", "2000");
    std::optional<unsigned> status;
    Edge::startCall(
        environment.callPool, { vm.address, callersPort }, std::move(request), 3s,
        [&status](const Edge::CallResponse& response) { status = response.status; },
        Edge::maxStoreResponseBytes, Edge::CallRepetition::Never, Edge::CallConnection::Own);
    runUntil(environment, [&status] { return status.has_value(); });
    return status.value_or(0);
}

std::string requestHead(const std::string& fields)
{
    return "POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: e\r\n" + fields;
}

struct Row {
    const char* name;
    std::uint16_t port;
    std::string head;
    std::string filler;
};

std::vector<Row> makeRows()
{
    const std::string bytes(8192, 'x');
    std::string fields;
    while (fields.size() < bytes.size())
        fields += "X-Field: value\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string lastChunk = requestHead(chunked) + "4\r\nbody\r\n0\r\n";
    return {
        { "trailer of many fields", callersPort, lastChunk, fields },
        { "one field of a trailer", callersPort, lastChunk + "X-Field: ", bytes },
        { "extension of the last chunk", callersPort, requestHead(chunked) + "4\r\nbody\r\n0;a=", bytes },
        { "extension of a chunk", callersPort, requestHead(chunked) + "4;a=", bytes },
        { "digits of a chunk's length", callersPort, requestHead(chunked), std::string(8192, '0') },
        { "chunks with extensions", callersPort, requestHead(chunked),
            "1;a=" + bytes.substr(8) + "\r\nx\r\n" },
        { "chunked body", callersPort, requestHead(chunked), "1ff8\r\n" + bytes.substr(8) + "\r\n" },
        { "body of a large length", callersPort, requestHead("Content-Length: 99999999999\r\n\r\n"), bytes },
        { "header of many fields", callersPort, requestHead(""), fields },
        { "one field of a header", callersPort, requestHead("X-Field: "), bytes },
        { "request line", callersPort, "GET /", bytes },
        { "empty lines", callersPort, "", std::string(8192, '\n') },
        { "trailer to the port of other VMs", forwardingPort, lastChunk, fields },
        { "header to the port of other VMs", forwardingPort, requestHead(""), fields },
        { "trailer to the status port", readinessPort,
            "GET /metrics HTTP/1.1\r\nHost: a\r\n" + chunked + "0\r\n", fields },
        { "header to the status port", readinessPort, "GET /metrics HTTP/1.1\r\n", fields },
        { "long frame to the port of the relay", firstInternalPort, std::string("\x00\xff\xff\xff", 4),
            bytes },
        { "too long a frame to the port of the relay", firstInternalPort, std::string("\x7f\xff\xff\xff", 4),
            bytes },
    };
}

} // namespace

TEST_CASE("Callers that send without end do not end the process", "[endlesscallers]")
{
    const Row row = GENERATE(from_range(makeRows()));
    INFO(row.name);
    TestEnvironment environment;
    environment.callerLimits = { headerBytes, bodyBytes };
    addUpstream(environment, "i-1", "plain");
    publishConfiguration(environment, 1);
    DaemonProcess daemon;
    REQUIRE(runUntil(
        environment, [&] { return statusOfOrdinaryRequest(environment, daemon.vm) == 200; }, 20000ms));
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(daemon.vm.address), row.port);
    std::vector<std::unique_ptr<EndlessCaller>> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        EndlessCaller& caller = *callers.emplace_back(std::make_unique<EndlessCaller>(environment.context));
        caller.filler = row.filler;
        caller.maxBytes = bytesPerCaller;
        startSending(caller, endpoint, row.head);
    }
    // Callers that the VM reads no more stay where they are.
    runUntil(environment, [&callers] {
        return std::all_of(callers.begin(), callers.end(),
            [](const std::unique_ptr<EndlessCaller>& caller) { return caller->isDone; });
    });
    const std::size_t descriptors = countDescriptors(daemon.vm);
    const unsigned long peakKilobytes = Soak::peakMemoryKilobytes(daemon.vm);
    int status = 0;
    REQUIRE_FALSE(Soak::collectProcess(daemon.vm, status));
    CHECK(statusOfOrdinaryRequest(environment, daemon.vm) == 200);
    CHECK(descriptors > 0);
    CHECK(descriptors <= maxDescriptors);
    CHECK(peakKilobytes > 0);
    CHECK(peakKilobytes <= memoryMegabytes * 1024UL);
    for (const std::unique_ptr<EndlessCaller>& caller : callers) {
        boost::system::error_code ignored;
        caller->socket.close(ignored);
    }
    runFor(environment, 10ms);
}
