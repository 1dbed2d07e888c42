#include "decodeoutcome.h"

#include <platform/settingsfile.h>

#include <catch2/catch.hpp>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

const std::string validSettings = R"(
grants = "call"
unknown = [1, 2]
[self]
node_name = "front-1"
bootstrap = true
ip = "10.1.0.15"
zone = "z1"
region = "r1"
[self.limits]
memory_mb = 260
max_fds = 4100
[network]
internal_ports = [7620, 7635]
seeds = ["10.1.0.15:8649", "10.2.0.42:8649"]
[network.listen]
front = "10.1.0.15:8641"
ready = "10.1.0.15:8640"
[network.zones]
z1 = "r1"
z2 = "r2"
[platform.platform]
address = "10.200.1.7:8642"
[terms.bounds]
grace = "6s"
drain = "2500ms"
hold_max = "10000ms"
retry_ratio = 0.25
retry_slack = 64
cold_excess = 1.5
cold_slack = 8
evac = "4s"
)";

} // namespace

TEST_CASE("Known settings are decoded, unknown ones are ignored", "[settingsfile]")
{
    const Routing::VmSettings settings = decodeSettings(validSettings).value();
    CHECK(settings.name.value == "front-1");
    CHECK(settings.zone.value == "z1");
    CHECK(settings.regionByZone.at({ "z2" }).value == "r2");
    CHECK(settings.callerEndpoint == Routing::Endpoint { "10.1.0.15", 8641 });
    CHECK(settings.readinessEndpoint == Routing::Endpoint { "10.1.0.15", 8640 });
    CHECK(settings.storeEndpoint == Routing::Endpoint { "10.200.1.7", 8642 });
    CHECK(settings.firstInternalPort == 7620);
    CHECK(settings.lastInternalPort == 7635);
    CHECK(settings.memoryMegabytes == 260);
    CHECK(settings.isFirstStart);
    CHECK(settings.seeds == std::vector<std::string> { "10.1.0.15", "10.2.0.42" });
    CHECK(settings.operatingLimits.terminationGracePeriod == 6s);
    CHECK(settings.operatingLimits.drainTimeout == 2500ms);
    CHECK(settings.operatingLimits.retryRatio == 0.25);
    CHECK(settings.operatingLimits.retrySlack == 64);
    CHECK(settings.operatingLimits.coldExcessFactor == 1.5);
    CHECK(settings.operatingLimits.coldExcessRequests == 8);
    CHECK(settings.operatingLimits.evacuationTimeout == 4s);
}

TEST_CASE("Invalid settings are reported", "[settingsfile]")
{
    struct Row {
        const char* name;
        const char* part;
        const char* by;
        DecodeError error;
    };
    const Row row = GENERATE(values<Row>({
        { "no name", "node_name", "other_name", DecodeError::MissingField },
        { "no store", "[platform.platform]", "[platform.other]", DecodeError::MissingField },
        { "address without port", "10.1.0.15:8641", "10.1.0.15", DecodeError::OutOfRange },
        { "seed without port", "10.2.0.42:8649", "10.2.0.42", DecodeError::OutOfRange },
        { "seed that is no text", "\"10.2.0.42:8649\"", "7", DecodeError::WrongType },
        { "time without unit", "\"6s\"", "\"6\"", DecodeError::OutOfRange },
        { "negative factor", "cold_excess = 1.5", "cold_excess = -1", DecodeError::OutOfRange },
        { "factor that is not finite", "cold_slack = 8", "cold_slack = inf", DecodeError::OutOfRange },
        { "no TOML", "[self]", "[self", DecodeError::Unreadable },
    }));
    INFO(row.name);
    std::string text = validSettings;
    text.replace(text.find(row.part), std::string(row.part).size(), row.by);
    CHECK(PlatformTest::decodeErrorOf([&] { return decodeSettings(text); }) == row.error);
}
