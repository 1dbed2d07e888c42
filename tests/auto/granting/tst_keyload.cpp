#include <granting/keyload.h>
#include <granting/loadreportcodec.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

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
