#include <granting/keyload.h>
#include <granting/loadreportcodec.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <numeric>

using namespace Granting;
using namespace std::chrono_literals;

TEST_CASE("The recorded rate approaches a steady rate within a few half-lives", "[keyload]")
{
    KeyLoad load;
    Utils::Instant at { 1000s };
    load.decayedAt = at;
    for (int step = 0; step < 100; ++step) {
        at += 100ms;
        decay(load, at);
        addRequests(load, 7, 2);
    }
    CHECK(load.rates[7] == Approx(20).epsilon(0.1));
    CHECK(load.rates[8] == 0);
    decay(load, at + loadHalfLife);
    CHECK(load.rates[7] == Approx(10).epsilon(0.1));
}

TEST_CASE("A report is decoded as it was encoded, and a truncated one is not", "[keyload]")
{
    LoadReport report;
    report.vm = { "front-1" };
    report.services = { { { "s1" }, { { 3, 4 }, { 65535, 1 } } }, { { "s2" }, {} } };
    const std::string datagram = encodeReport(report);
    const auto decode = [](std::string_view bytes) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<LoadReport>> {
                BOOST_LEAF_AUTO(value, decodeReport({ bytes.data(), bytes.size() }));
                return std::optional<LoadReport>(value);
            },
            []() { return std::optional<LoadReport>(); });
    };
    CHECK(decode(datagram) == report);
    for (std::size_t size = 0; size + 8 < datagram.size(); ++size)
        CHECK(decode(std::string_view(datagram).substr(0, size)) != report);
}

TEST_CASE("The estimate follows a block of keys that becomes busy or idle within half a second", "[keyload]")
{
    KeyLoad load;
    Utils::Instant at { 1000s };
    load.decayedAt = at;
    // 160 requests per second for 32 keys.
    const auto request = [&](Utils::Duration time, std::uint16_t first) {
        for (const Utils::Instant end = at + time; at < end; at += 100ms) {
            decay(load, at);
            for (std::uint16_t index = 0; index < 16; ++index)
                addRequests(load, static_cast<std::uint16_t>(first + 2 * index), 1);
        }
    };
    const auto sum = [&](std::size_t first) {
        const std::vector<float> rates = estimateRates(load);
        return std::accumulate(rates.begin() + static_cast<std::ptrdiff_t>(first),
            rates.begin() + static_cast<std::ptrdiff_t>(first + 32), 0.0);
    };
    request(500ms, 64);
    CHECK(sum(64) == Approx(160).epsilon(0.25));
    request(5s, 64);
    CHECK(sum(64) == Approx(160).epsilon(0.15));
    request(500ms, 320);
    CHECK(sum(64) < 80);
    CHECK(sum(320) == Approx(160).epsilon(0.25));
}

TEST_CASE("A few requests do not change the estimate of a block", "[keyload]")
{
    KeyLoad load;
    load.decayedAt = Utils::Instant { 1000s };
    for (std::uint16_t key = 64; key < 67; ++key)
        addRequests(load, key, 1);
    CHECK(estimateRates(load) == load.rates);
    CHECK(estimateRates({}).empty());
}
