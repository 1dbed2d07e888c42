#include <gateway/holdercodec.h>

#include <catch2/catch.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace {

namespace leaf = boost::leaf;
using Gateway::HolderError;

const std::string goodAnswer
    = R"({"verdict":"accepted","incarnation":5,"clock_us":100,"token":7,"epoch":1,"held_until_us":900,"shards":["r/0"]})";

struct Row {
    std::string text;
    std::optional<HolderError> error;
};

const std::vector<Row> rows {
    { goodAnswer, std::nullopt },
    { "", HolderError::NotJson },
    { "[]", HolderError::NotJson },
    { goodAnswer.substr(0, 40), HolderError::NotJson },
    { R"({"verdict":"accepted"})", HolderError::MissingField },
    { R"({"verdict":"perhaps","incarnation":5,"clock_us":1,"token":7,"epoch":1,"held_until_us":9,"shards":[]})",
        HolderError::UnknownVerdict },
    { R"({"verdict":"accepted","incarnation":-5,"clock_us":1,"token":7,"epoch":1,"held_until_us":9,"shards":[]})",
        HolderError::WrongType },
    { R"({"verdict":"accepted","incarnation":5,"clock_us":1,"token":7,"epoch":1,"held_until_us":9,"shards":[1]})",
        HolderError::WrongType },
    { R"({"verdict":"accepted","incarnation":5,"clock_us":1,"token":7,"epoch":99999999999,"held_until_us":9,"shards":[]})",
        HolderError::WrongType },
};

std::optional<HolderError> errorOf(const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<HolderError>> {
            BOOST_LEAF_CHECK(Gateway::decodeHolderAnswer(text));
            return std::optional<HolderError>();
        },
        [](HolderError error) { return std::optional<HolderError>(error); },
        []() { return std::optional<HolderError>(); });
}

} // namespace

TEST_CASE("holder answers are read or refused by type", "[holdercodec]")
{
    const Row row = GENERATE(from_range(rows));
    INFO(row.text);
    REQUIRE(errorOf(row.text) == row.error);
}

TEST_CASE("an answer's fields arrive", "[holdercodec]")
{
    const leaf::result<Ownership::HolderResponse> answer = Gateway::decodeHolderAnswer(goodAnswer);
    REQUIRE(answer);
    const Ownership::HolderResponse expected { Ownership::HolderVerdict::Accepted, 5, 100, { 7, 1 }, 900,
        { { "r/0" } } };
    REQUIRE(*answer == expected);
}

TEST_CASE("seeded mutations of answers never crash the reader", "[holdercodec]")
{
    const unsigned seed = GENERATE(range(1U, 6U));
    std::mt19937 random(seed);
    for (unsigned round = 0; round < 1000; ++round) {
        std::string text = goodAnswer;
        text[random() % text.size()] = static_cast<char>(random());
        text.resize(text.size() - random() % 4);
        static_cast<void>(errorOf(text));
    }
    SUCCEED();
}
