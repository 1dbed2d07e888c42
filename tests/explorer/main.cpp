#include "instances.h"
#include "search.h"

#include <cstdlib>
#include <iostream>

/// Explores one instance or all instances. Usage: exploreownership [name] [horizon] [states]. Prints one JSON
/// line for each instance.
int main(int argc, char** argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    const unsigned horizon = argc > 2 ? static_cast<unsigned>(std::strtoul(argv[2], nullptr, 10)) : 0;
    const std::size_t maxStates = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : Explorer::defaultMaxStates;
    for (Explorer::Instance instance : Explorer::allInstances()) {
        if (!only.empty() && instance.name != only)
            continue;
        if (horizon != 0)
            instance.horizon = horizon;
        const Explorer::SearchResult result = Explorer::explore(instance, maxStates);
        std::cout << "{\"instance\":\"" << instance.name << "\",\"states\":" << result.states
                  << ",\"steps\":" << result.steps << ",\"ticks\":" << result.ticks
                  << ",\"complete\":" << (result.isComplete ? "true" : "false")
                  << ",\"closed\":" << (result.isStateSpaceExhausted ? "true" : "false") << ",\"broken\":\""
                  << result.violation << "\"}" << std::endl;
        for (const std::string& line : result.trace)
            std::cout << "  " << line << '\n';
    }
    return 0;
}
