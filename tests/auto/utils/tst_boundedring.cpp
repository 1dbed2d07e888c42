#include <utils/boundedring.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>

TEST_CASE("a ring refuses when full and keeps order", "[boundedring]")
{
    const std::size_t capacity = GENERATE(1, 2, 7);
    Utils::BoundedRing<std::size_t> ring(capacity);
    for (std::size_t item = 0; item < capacity; ++item)
        REQUIRE(ring.push(item));
    REQUIRE_FALSE(ring.push(99));
    for (std::size_t item = 0; item < capacity; ++item)
        REQUIRE(ring.tryPop() == item);
    REQUIRE_FALSE(ring.tryPop().has_value());
}

TEST_CASE("a closed ring refuses new items and gives out the held ones", "[boundedring]")
{
    Utils::BoundedRing<int> ring(2);
    REQUIRE(ring.push(1));
    ring.close();
    REQUIRE_FALSE(ring.push(2));
    REQUIRE(ring.popFor(std::chrono::milliseconds(1)) == 1);
    REQUIRE_FALSE(ring.popFor(std::chrono::milliseconds(1)).has_value());
}
