#include <metrics/exposition.h>

#include <catch2/catch.hpp>

namespace {

enum class Colour {
    Red,
    Blue,
};

constexpr std::array<Utils::EnumName<Colour>, 2> colourNames { { { Colour::Red, "red" },
    { Colour::Blue, "blue" } } };

} // namespace

TEST_CASE("a family shows one sample a name", "[exposition]")
{
    Metrics::CounterFamily<Colour, colourNames.size()> family;
    family.add(Colour::Blue, 3);
    std::string text;
    Metrics::writeFamily(text, "paint_total", "Pots.", "colour", colourNames, family);
    REQUIRE(text
        == "# HELP paint_total Pots.\n# TYPE paint_total counter\n"
           "paint_total{colour=\"red\"} 0\npaint_total{colour=\"blue\"} 3\n");
}

TEST_CASE("label values are escaped", "[exposition]")
{
    std::string text;
    Metrics::writeSample(text, "a", "b", "c\"d\\e\nf", 1.5);
    REQUIRE(text == "a{b=\"c\\\"d\\\\e\\nf\"} 1.5\n");
}
