#include <gateway/routing.h>

#include <gateway/requestfault.h>

#include "sampleconfiguration.h"

#include <catch2/catch.hpp>

#include <optional>

namespace {

namespace leaf = boost::leaf;
using Requests::Reason;

std::optional<Reason> refusalOf(const Gateway::RoutingTable& table, const std::string& service)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Reason>> {
            BOOST_LEAF_CHECK(Gateway::findRoute(table, { service }, "lamp"));
            return std::optional<Reason>();
        },
        [](const Gateway::RequestFault& fault) { return std::optional<Reason>(fault.reason); },
        []() { return std::optional<Reason>(Reason::None); });
}

} // namespace

TEST_CASE("a key without a dispatcher is refused by what is missing", "[routing]")
{
    Gateway::RoutingTable table;
    REQUIRE(refusalOf(table, "stock") == Reason::NoConfiguration);
    table.configuration = std::make_shared<Declarations::Configuration>(sampleConfiguration());
    REQUIRE(refusalOf(table, "dues") == Reason::UnknownService);
    REQUIRE(refusalOf(table, "stock") == Reason::NoOwner);
    table.pools[{ "stock-west" }] = { 7, { "a" }, { "b" } };
    REQUIRE_FALSE(refusalOf(table, "stock").has_value());
}

TEST_CASE("dispatcher and successor are tried in turn", "[routing]")
{
    const Gateway::PoolRoute route { 7, { "a" }, { "b" } };
    REQUIRE(Gateway::dispatcherFor(route, 0).value == "a");
    REQUIRE(Gateway::dispatcherFor(route, 1).value == "b");
    REQUIRE(Gateway::dispatcherFor(route, 2).value == "a");
    const Gateway::PoolRoute alone { 7, { "a" }, {} };
    REQUIRE(Gateway::dispatcherFor(alone, 1).value == "a");
}
