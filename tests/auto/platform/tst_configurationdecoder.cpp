#include "decodeoutcome.h"

#include <platform/configurationdecoder.h>

#include <catch2/catch.hpp>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

const std::string head
    = R"({"version":"r7","limits":{"header_bytes":16384,"body_bytes":1000,"header":"3000ms",)"
      R"("idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)";
const std::string tail
    = R"(]}],"clusters":[{"name":"s1","health_path":"/health","max_conns":120,"protocol":"h1",)"
      R"("tls":false,"sharded":true,"warm":"2s","grants":"call"},)"
      R"({"name":"s2","health_path":"/h","max_conns":9,"protocol":"h1","tls":false}]})";
const std::string splitRule
    = R"({"name":"r-1","kind":"safe","target_latency":"600ms","priority":1,"match":{"path_prefix":"/x/"},)"
      R"("action":{"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
      R"("timeout":"1200ms","max_attempts":2}})";

std::string rule(const std::string& kind, const std::string& action)
{
    return R"({"name":"r-2","kind":)" + kind
        + R"(,"target_latency":"600ms","match":{"path_prefix":"/y/"},"action":)" + action + "}";
}

} // namespace

TEST_CASE("A complete configuration is decoded", "[configurationdecoder]")
{
    const Routing::Configuration configuration = decodeConfiguration(head + splitRule + tail).value();
    CHECK(configuration.version == 7);
    CHECK(configuration.limits.headerTimeout == 3s);
    CHECK(configuration.limits.idleTimeout == 15s);
    REQUIRE(configuration.routes.size() == 1);
    const Routing::Route& route = configuration.routes.front();
    CHECK(route.host == "a.example");
    CHECK(route.pathPrefix == "/x/");
    CHECK(route.kind == Routing::RequestKind::Safe);
    CHECK(route.timeout == 1200ms);
    CHECK(route.targetLatency == 600ms);
    CHECK(route.maxAttempts == 2);
    CHECK(
        route.destinations == std::vector<Routing::RouteDestination> { { { "s1" }, 90 }, { { "s2" }, 10 } });
    CHECK(configuration.services.at({ "s1" }).keyed);
    CHECK(configuration.services.at({ "s1" }).warmUp == 2s);
    CHECK_FALSE(configuration.services.at({ "s2" }).keyed);
}

TEST_CASE("Invalid rules are reported, requests of unknown kinds are not retried", "[configurationdecoder]")
{
    struct Row {
        const char* name;
        std::string rule;
        std::optional<DecodeError> error;
    };
    const std::string good = R"({"service":"s1","timeout":"1s","max_attempts":2})";
    const Row row = GENERATE_COPY(values<Row>({
        { "good", rule("\"unsafe\"", good), std::nullopt },
        { "unknown kind", rule("\"stream\"", good), std::nullopt },
        { "no destination", rule("\"safe\"", R"({"timeout":"1s","max_attempts":2})"),
            DecodeError::MissingField },
        { "no timeout", rule("\"safe\"", R"({"service":"s1","max_attempts":2})"), DecodeError::MissingField },
        { "attempts as text", rule("\"safe\"", R"({"service":"s1","timeout":"1s","max_attempts":"2"})"),
            DecodeError::WrongType },
        { "weights of 0",
            rule("\"safe\"",
                R"({"traffic_split":[{"service":"s1","weight":0}],"timeout":"1s","max_attempts":2})"),
            DecodeError::OutOfRange },
        { "weights whose sum exceeds 2^64",
            rule("\"safe\"",
                R"({"traffic_split":[{"service":"s1","weight":18446744073709551615},)"
                R"({"service":"s2","weight":2}],"timeout":"1s","max_attempts":2})"),
            DecodeError::OutOfRange },
        { "attempts 2^64",
            rule("\"safe\"", R"({"service":"s1","timeout":"1s","max_attempts":18446744073709551616})"),
            DecodeError::WrongType },
        { "timeout 1e400 s", rule("\"safe\"", R"({"service":"s1","timeout":"1e400s","max_attempts":2})"),
            DecodeError::OutOfRange },
        { "nested deeply", std::string(100000, '['), DecodeError::Unreadable },
        { "no UTF-8", rule("\"\xff\"", good), DecodeError::Unreadable },
        { "kind as number", rule("7", good), DecodeError::WrongType },
        { "rule as text", "\"rule\"", DecodeError::WrongType },
    }));
    INFO(row.name);
    CHECK(PlatformTest::decodeErrorOf([&] { return decodeConfiguration(head + row.rule + tail); })
        == row.error);
}

TEST_CASE("A truncated configuration is rejected at every length", "[configurationdecoder]")
{
    const std::string text = head + splitRule + tail;
    for (std::size_t size = 0; size < text.size(); ++size)
        REQUIRE(PlatformTest::decodeErrorOf([&] { return decodeConfiguration(text.substr(0, size)); }));
}

TEST_CASE("A version that is not 'r' and a number is rejected", "[configurationdecoder]")
{
    const std::string version = GENERATE("7", "rx", "r", "r7x", "x7");
    std::string text = head + splitRule + tail;
    text.replace(text.find("r7"), 2, version);
    CHECK(PlatformTest::decodeErrorOf([&] { return decodeConfiguration(text); }) == DecodeError::OutOfRange);
}

TEST_CASE("Numbers beyond 2^32 do not wrap to small ones", "[configurationdecoder]")
{
    std::string rules = splitRule;
    rules.replace(rules.find("\"priority\":1"), 12, "\"priority\":4294967296");
    rules.replace(rules.find("\"max_attempts\":2"), 16, "\"max_attempts\":4294967296");
    std::string text = head + rules + tail;
    text.replace(text.find("\"max_conns\":9"), 13, "\"max_conns\":4294967296");
    const Routing::Configuration configuration = decodeConfiguration(text).value();
    CHECK(configuration.routes.front().priority > 1);
    CHECK(configuration.routes.front().maxAttempts > 1);
    CHECK(configuration.services.at({ "s2" }).maxConnections > 1);
}

TEST_CASE("The home regions of a route are decoded", "[configurationdecoder]")
{
    struct Row {
        const char* regions;
        std::vector<Utils::RegionId> homes;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { "[]", {}, std::nullopt },
        { R"(["north"])", { { "north" } }, std::nullopt },
        { R"(["north","south"])", { { "north" }, { "south" } }, std::nullopt },
        { R"("north")", {}, DecodeError::WrongType },
        { "[1]", {}, DecodeError::WrongType },
        { R"([""])", {}, DecodeError::WrongType },
    }));
    INFO(row.regions);
    const std::string action = R"({"service":"s1","timeout":"1s","max_attempts":2,"home_regions":)"
        + std::string(row.regions) + "}";
    const std::string text = head + rule("\"safe\"", action) + tail;
    CHECK(PlatformTest::decodeErrorOf([&] { return decodeConfiguration(text); }) == row.error);
    if (!row.error)
        CHECK(decodeConfiguration(text).value().routes.front().homeRegions == row.homes);
}

TEST_CASE("The rate of a cold upstream is decoded", "[configurationdecoder]")
{
    struct Row {
        const char* fields;
        std::optional<double> perSecond;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { R"("cold":"3s","cold_per_s":5.4)", 5.4, std::nullopt },
        { R"("cold":"3s","cold_per_s":5)", 5, std::nullopt },
        { R"("cold":"3s","cold_per_s":0)", std::nullopt, std::nullopt },
        { R"("cold":"3s")", std::nullopt, std::nullopt },
        { R"("cold_per_s":-1)", std::nullopt, DecodeError::OutOfRange },
        { R"("cold_per_s":"5")", std::nullopt, DecodeError::WrongType },
        { R"("cold":3)", std::nullopt, DecodeError::WrongType },
    }));
    INFO(row.fields);
    std::string text = head + splitRule + tail;
    text.replace(text.find("\"max_conns\":9"), 13, "\"max_conns\":9," + std::string(row.fields));
    CHECK(PlatformTest::decodeErrorOf([&] { return decodeConfiguration(text); }) == row.error);
    if (!row.error)
        CHECK(decodeConfiguration(text).value().services.at({ "s2" }).coldRequestsPerSecond == row.perSecond);
}
