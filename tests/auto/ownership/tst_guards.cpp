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

TEST_CASE("disabling any guard or holder check leads to a safety violation", "[guards]")
{
    for (const Explorer::Instance& instance : Explorer::weakenedInstances()) {
        INFO(instance.name);
        const Explorer::SearchResult result = Explorer::explore(instance, Explorer::defaultMaxStates);
        print(instance, result);
        CHECK_FALSE(result.violation.empty());
    }
}
