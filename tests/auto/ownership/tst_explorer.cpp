#include <explorer/instances.h>
#include <explorer/search.h>

#include <catch2/catch.hpp>

#include <iostream>

namespace {

void print(const Explorer::Instance& instance, const Explorer::SearchResult& result)
{
    std::cout << instance.name << ": " << result.states << " states, " << result.steps << " steps, "
              << result.ticks << " ticks" << (result.broken.empty() ? "" : ": " + result.broken) << '\n';
    for (const std::string& line : result.trace)
        std::cout << "    " << line << '\n';
}

} // namespace

TEST_CASE("the rule keeps one owner in every state of its instances", "[explorer]")
{
    for (const Explorer::Instance& instance : Explorer::ruleInstances()) {
        INFO(instance.name);
        const Explorer::SearchResult result = Explorer::explore(instance, Explorer::defaultMaxStates);
        print(instance, result);
        CHECK(result.broken.empty());
        CHECK(result.complete);
    }
}

TEST_CASE("each guard left out lets two owners be", "[explorer]")
{
    for (const Explorer::Instance& instance : Explorer::weakenedInstances()) {
        INFO(instance.name);
        const Explorer::SearchResult result = Explorer::explore(instance, Explorer::defaultMaxStates);
        print(instance, result);
        CHECK_FALSE(result.broken.empty());
    }
}
