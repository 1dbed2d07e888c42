#include <utils/enumtable.h>

#include <catch2/catch.hpp>

#include <array>

namespace {

enum class Fruit { Plum, Pear };

constexpr std::array<Utils::EnumName<Fruit>, 2> fruitNames { { { Fruit::Plum, "plum" },
    { Fruit::Pear, "pear" } } };

} // namespace

TEST_CASE("names and enumerators map both ways", "[enumtable]")
{
    const Utils::EnumName<Fruit> row = GENERATE(from_range(fruitNames));
    REQUIRE(Utils::enumName(fruitNames, row.value) == row.name);
    REQUIRE(Utils::enumFromName(fruitNames, row.name) == row.value);
}

TEST_CASE("an unknown name has no enumerator", "[enumtable]")
{
    REQUIRE_FALSE(Utils::enumFromName(fruitNames, "quince").has_value());
}
