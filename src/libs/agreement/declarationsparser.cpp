#include <agreement/declarationsparser.h>

#include <declarations/configurationreader.h>

#include <string>

namespace Agreement {

ConfigurationParser declarationsParser()
{
    return [](std::string_view text) -> std::optional<Declarations::Configuration> {
        Declarations::ReadResult result
            = Declarations::readConfiguration({ Declarations::Document { "log", std::string(text) } });
        if (!result.faults.empty())
            return std::nullopt;
        return std::move(result.configuration);
    };
}

} // namespace Agreement
