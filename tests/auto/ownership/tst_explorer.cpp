#include <explorer/instances.h>
#include <explorer/search.h>

#include <catch2/catch.hpp>

#include <iostream>

namespace {

void print(const Explorer::Instance& instance, const Explorer::SearchResult& result)
{
    std::cout << instance.name << ": " << result.states << " states, " << result.steps << " steps, "
              << result.ticks << " ticks" << (result.violation.empty() ? "" : ": " + result.violation)
              << '\n';
    for (const std::string& line : result.trace)
        std::cout << "    " << line << '\n';
}

} // namespace

TEST_CASE("no state of the safe instances violates a safety property", "[explorer]")
{
    for (const Explorer::Instance& instance : Explorer::safeInstances()) {
        INFO(instance.name);
        const Explorer::SearchResult result = Explorer::explore(instance, Explorer::defaultMaxStates);
        print(instance, result);
        CHECK(result.violation.empty());
        CHECK(result.isComplete);
    }
}
