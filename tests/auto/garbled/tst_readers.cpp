#include "mutation.h"

#include <granting/assignmentdelta.h>
#include <granting/loadreportcodec.h>
#include <granting/recordcodec.h>
#include <platform/configurationdecoder.h>
#include <platform/headers.h>
#include <platform/settingsfile.h>
#include <platform/storecalls.h>
#include <platform/upstreamdecoder.h>
#include <relay/framecodec.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <functional>

namespace leaf = boost::leaf;

namespace {

/// Returns true if \a read gives a value, false if it gives a typed error. Anything else fails the test.
template <typename Read> bool isReadable(Read read)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(read());
            return true;
        },
        [] { return false; });
}

struct Reader {
    const char* name;
    std::string text;
    std::function<bool(const std::string&)> read;
};

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t index = bytes; index > 0; --index)
        text.push_back(static_cast<char>(value >> (8 * (index - 1))));
    return text;
}

Granting::KeyAssignment assignment()
{
    Granting::KeyAssignment result;
    result.service = { "s1" };
    result.term = 3;
    result.version = 7;
    result.segments
        = { { { 0, 999 }, { "i-1" }, true, 9, {} }, { { 1000, 65535 }, { "i-2" }, false, 0, { { "i-1" } } } };
    return result;
}

std::vector<Reader> readers()
{
    const std::string configuration
        = R"({"version":"r7","limits":{"header_bytes":16384,"body_bytes":1000,"header":"3000ms",)"
          R"("idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[{"name":"r-1","kind":"safe",)"
          R"("target_latency":"600ms","priority":1,"match":{"path_prefix":"/x/"},"action":{"traffic_split":)"
          R"([{"service":"s1","weight":90},{"service":"s2","weight":10}],"timeout":"1200ms","max_attempts":2}}]}],)"
          R"("clusters":[{"name":"s1","health_path":"/h","max_conns":9,"sharded":true,"warm":"2s"},)"
          R"({"name":"s2","health_path":"/h","max_conns":9}]})";
    const std::string upstream
        = R"({"address":"10.128.0.9:8080","info":{"service":"s1","version":"v1","zone":"z1","slots":2},)"
          R"("status":{"state":"ready","seq_no":4,"cold_left":"1500ms"},"born":1785945395038})";
    const std::string settings
        = "[self]\nnode_name = \"f\"\nip = \"10.1.0.15\"\nzone = \"z1\"\nregion = \"r1\"\n"
          "[self.limits]\nmemory_mb = 260\nmax_fds = 4100\n[network]\n"
          "internal_ports = [7620, 7635]\n[network.listen]\nfront = \"10.1.0.15:8641\"\n"
          "ready = \"10.1.0.15:8640\"\n[network.zones]\nz1 = \"r1\"\n[platform.platform]\n"
          "address = \"10.200.1.7:8642\"\n[terms.bounds]\ngrace = \"6s\"\n";
    const std::string records = bigEndian(42, 8) + bigEndian(3, 8) + bigEndian(7, 4)
        + std::string("\x03"
                      "abcxyz")
        + bigEndian(4, 4)
        + std::string("\x03"
                      "abc");
    const std::string newest = R"({"items":[{"key":"a","value":"eHl6","offset":4}],"more":false,"end":9})";
    Granting::KeyAssignment next = assignment();
    ++next.version;
    next.segments.back().isConfirmed = true;
    Granting::LoadReport report;
    report.vm = { "vm" };
    report.services = { { { "s1" }, { { 5, 3 }, { 9, 1 } } } };
    Relay::Update update;
    update.leader = "{}";
    update.records = { { Relay::RelayTopic::Reports, "i-1", std::string(3000, 'x'), 4 } };
    return {
        { "configuration", configuration,
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeConfiguration(text); });
            } },
        { "upstream", upstream,
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeUpstream("i-1", text); });
            } },
        { "settings", settings,
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeSettings(text); });
            } },
        { "records", records,
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeReadResponse(text, 40, true); });
            } },
        { "newest", newest,
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeNewestRecordsResponse(text); });
            } },
        { "append", R"({"offset":5,"end":7})",
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeAppendResponse(text); });
            } },
        { "first kept", R"({"first":12})",
            [](const std::string& text) {
                return isReadable([&] { return Platform::decodeFirstRetainedOffset(text); });
            } },
        { "leader", Granting::encodeLeader({ { "vm" }, 7, { "10.0.0.1", 80 } }),
            [](const std::string& text) {
                return isReadable([&] { return Granting::decodeLeader(text); });
            } },
        { "assignment", Granting::encodeAssignment(assignment()),
            [](const std::string& text) {
                return isReadable([&] { return Granting::decodeAssignment(text); });
            } },
        { "delta", Granting::encodeDelta(Granting::computeDelta(assignment(), next)),
            [](const std::string& text) { return isReadable([&] { return Granting::decodeDelta(text); }); } },
        { "load report", Granting::encodeReport(report),
            [](const std::string& text) {
                return isReadable([&] { return Granting::decodeReport({ text.data(), text.size() }); });
            } },
        { "relay frame", Relay::encodeFrame(update),
            [](const std::string& text) {
                std::string stream = text;
                return isReadable([&] { return Relay::extractFrame(stream); });
            } },
    };
}

} // namespace

TEST_CASE("Every reader returns a value or a typed error for damaged input", "[readers]")
{
    constexpr unsigned rounds = 1500;
    const std::size_t index = GENERATE(range(0, 12));
    const Reader reader = readers().at(index);
    INFO(reader.name);
    REQUIRE(reader.read(reader.text));
    std::mt19937_64 random(index + 1);
    unsigned rejected = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        const std::string text = GarbledTest::mutated(reader.text, random);
        INFO(text);
        if (!reader.read(text))
            ++rejected;
    }
    CHECK(rejected > rounds / 20);
}

TEST_CASE("Damaged headers are ignored", "[readers]")
{
    std::mt19937_64 random(99);
    for (unsigned round = 0; round < 2000; ++round) {
        Platform::HttpFields fields;
        fields.set("X-Deadline-Ms", GarbledTest::mutated("1500", random));
        fields.set("X-Shard-Key", GarbledTest::mutated("40960", random));
        fields.set("X-Server-Load", GarbledTest::mutated("3,1,8", random));
        fields.set("Keep-Alive", GarbledTest::mutated("timeout=10, max=5", random));
        const Platform::CallerHeaders callerHeaders = Platform::parseCallerHeaders(fields);
        CHECK((!callerHeaders.timeout || *callerHeaders.timeout >= Utils::Duration::zero()));
        const Platform::ServerHeaders serverHeaders = Platform::parseServerHeaders(200, fields);
        CHECK(
            (!serverHeaders.keepAliveTimeout || *serverHeaders.keepAliveTimeout >= Utils::Duration::zero()));
    }
}
