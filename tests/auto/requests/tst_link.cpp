#include <requests/link.h>

#include <catch2/catch.hpp>

#include <map>

using namespace Requests;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 100s };
const Utils::RankId urgent { "urgent" };
const Utils::RankId bulk { "bulk" };
const Utils::RankId unnamed { "unnamed" };

/// 1 Mbit/s for each of 12 VMs: urgent is promised half, bulk a fifth.
LinkBudget budget()
{
    Declarations::RegionLink link;
    link.bitsPerSecond = 12'000'000;
    link.rankShares = { { urgent, 0.5 }, { bulk, 0.2 } };
    return linkBudgetOf(link, 12, start);
}

/// Bits that each rank sent when it tries \a bytes every millisecond for ten seconds.
std::map<Utils::RankId, double> offer(const std::map<Utils::RankId, std::uint64_t>& bytes)
{
    LinkBudget link = budget();
    std::map<Utils::RankId, double> sent;
    for (int step = 0; step < 10'000; ++step) {
        for (const std::pair<const Utils::RankId, std::uint64_t>& rank : bytes) {
            if (takeLink(link, rank.first, rank.second, start + step * 1ms).allowed)
                sent[rank.first] += 8.0 * static_cast<double>(rank.second);
        }
    }
    return sent;
}

} // namespace

TEST_CASE("No rank takes another's share in a flood, and the sum keeps to the link", "[link]")
{
    const std::map<Utils::RankId, double> sent = offer({ { urgent, 50 }, { bulk, 5000 }, { unnamed, 500 } });
    double sum = 0;
    for (const std::pair<const Utils::RankId, double>& rank : sent)
        sum += rank.second;
    CHECK(sum <= 10.0 * 1'000'000 * 1.05);
    CHECK(sent.at(urgent) >= 0.99 * 8 * 50 * 10'000);
    CHECK(sent.at(bulk) >= 0.95 * 0.2 * 10 * 1'000'000);
}

TEST_CASE("An idle rank's share is used by the others", "[link]")
{
    const std::map<Utils::RankId, double> sent = offer({ { bulk, 500 } });
    CHECK(sent.at(bulk) >= 0.9 * 10 * 1'000'000);
    CHECK(sent.at(bulk) <= 1.05 * 10 * 1'000'000);
}

TEST_CASE("A request larger than a burst crosses and is paid off", "[link]")
{
    LinkBudget link = budget();
    REQUIRE(takeLink(link, bulk, 100'000, start).allowed);
    const LinkDecision refused = takeLink(link, bulk, 10'000, start);
    REQUIRE_FALSE(refused.allowed);
    CHECK(refused.retryAfter > 1s);
    CHECK(takeLink(link, urgent, 1000, start).allowed);
    CHECK(takeLink(link, bulk, 1000, start + refused.retryAfter).allowed);
}

TEST_CASE("Bytes that have crossed count", "[link]")
{
    LinkBudget link = budget();
    chargeLink(link, urgent, 200'000, start);
    CHECK_FALSE(takeLink(link, urgent, 1000, start).allowed);
    CHECK(takeLink(link, urgent, 1000, start + 4s).allowed);
}
