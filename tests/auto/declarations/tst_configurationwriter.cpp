#include "baseset.h"
#include "faultprinter.h"
#include "generators.h"

#include <declarations/configurationcheck.h>
#include <declarations/configurationdiff.h>
#include <declarations/configurationreader.h>
#include <declarations/configurationwriter.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using Declarations::Configuration;
using Declarations::Document;
using Declarations::ReadResult;

namespace {

const std::string mutationPieces[]
    = { "{", "}", "[", "]", ",", ":", "\"", "\\", "0", "-1", "1e999", "null", "true", "\"kind\"", "\"name\"",
          "\"west\"", "\"\"", "{}", "[]", "\xff", "\\ud800", "18446744073709551616" };

std::size_t pick(std::mt19937_64& random, std::size_t count) { return random() % count; }

/// Cuts, copies, overwrites or inserts a piece of \a text.
void mutate(std::string& text, std::mt19937_64& random)
{
    if (text.empty())
        return;
    const std::size_t at = pick(random, text.size());
    const std::size_t length = std::min(text.size() - at, 1 + pick(random, 30));
    const std::string& piece = mutationPieces[pick(random, std::size(mutationPieces))];
    switch (pick(random, 5)) {
    case 0:
        text.erase(at, length);
        return;
    case 1:
        text.insert(pick(random, text.size()), text.substr(at, length));
        return;
    case 2:
        text.replace(at, length, piece);
        return;
    case 3:
        text[at] = static_cast<char>(random());
        return;
    default:
        text.insert(at, piece);
    }
}

/// Swaps two runs between separators, so that the text often stays well-formed.
void swapTokens(std::string& text, std::mt19937_64& random)
{
    const char* const separators = ",:{}[]";
    const std::size_t first = text.find_first_of(separators, pick(random, text.size()));
    const std::size_t second = text.find_first_of(separators, pick(random, text.size()));
    if (first == std::string::npos || second == std::string::npos)
        return;
    const std::size_t firstEnd = text.find_first_of(separators, first + 1);
    const std::size_t secondEnd = text.find_first_of(separators, second + 1);
    if (firstEnd == std::string::npos || secondEnd == std::string::npos)
        return;
    const std::string moved = text.substr(second + 1, secondEnd - second - 1);
    text.replace(first + 1, firstEnd - first - 1, moved);
}

bool isSoundResult(const ReadResult& result)
{
    if (!result.configuration.has_value())
        return !result.faults.empty();
    if (!result.faults.empty())
        return false;
    const std::string text = Declarations::writeConfiguration(*result.configuration);
    const ReadResult again = Declarations::readConfiguration({ { "again.json", text } });
    return again.configuration == result.configuration;
}

} // namespace

TEST_CASE("a written configuration reads back as it was", "[configurationwriter]")
{
    const bool holds = rc::check([] {
        const Configuration configuration
            = DeclarationsTest::randomConfiguration(DeclarationsTest::anySeed());
        const std::string text = Declarations::writeConfiguration(configuration);
        const ReadResult result = Declarations::readConfiguration({ { "written.json", text } });
        RC_ASSERT(result.faults.empty());
        RC_ASSERT(result.configuration == configuration);
        RC_ASSERT(Declarations::writeConfiguration(*result.configuration) == text);
        RC_ASSERT(Declarations::diffConfigurations(configuration, *result.configuration).empty());
        RC_ASSERT(Declarations::checkConfiguration(configuration).empty());
    });
    CHECK(holds);
}

TEST_CASE("configurations are equal exactly when they have no differences", "[configurationwriter]")
{
    const bool holds = rc::check([] {
        const Configuration left = DeclarationsTest::randomConfiguration(DeclarationsTest::anySeed());
        const Configuration right = DeclarationsTest::randomConfiguration(DeclarationsTest::anySeed());
        RC_ASSERT(Declarations::diffConfigurations(left, right).empty() == (left == right));
        const bool sameText
            = Declarations::writeConfiguration(left) == Declarations::writeConfiguration(right);
        RC_ASSERT(sameText == (left == right));
    });
    CHECK(holds);
}

TEST_CASE("the order of objects and files does not matter", "[configurationwriter]")
{
    std::vector<Document> documents = DeclarationsTest::baseSet();
    const ReadResult forward = Declarations::readConfiguration(documents);
    std::reverse(documents.begin(), documents.end());
    const ReadResult backward = Declarations::readConfiguration(documents);
    REQUIRE(forward.configuration.has_value());
    CHECK(forward.configuration == backward.configuration);
}

TEST_CASE("damaged text gives faults or a sound configuration", "[configurationwriter]")
{
    const std::vector<Document> base = DeclarationsTest::baseSet();
    int accepted = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= 20000; seed += 1) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        std::vector<Document> documents = base;
        const std::size_t rounds = 1 + pick(random, 3);
        for (std::size_t i = 0; i < rounds; i += 1) {
            std::string& text = documents[pick(random, documents.size())].text;
            if (pick(random, 2) == 0)
                mutate(text, random);
            else
                swapTokens(text, random);
        }
        const ReadResult result = Declarations::readConfiguration(documents);
        REQUIRE(isSoundResult(result));
        (result.configuration.has_value() ? accepted : refused) += 1;
    }
    // Both ways have to be taken often for the test to mean anything.
    CHECK(accepted > 100);
    CHECK(refused > 1000);
}
