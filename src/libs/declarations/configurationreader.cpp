#include <declarations/configurationreader.h>

#include <declarations/configurationcheck.h>
#include <declarations/configurationparser.h>

#include <utility>

namespace Declarations {

ReadResult checkParsedSet(ParsedSet parsed)
{
    ReadResult result;
    result.faults = std::move(parsed.faults);
    if (parsed.complete) {
        const std::vector<Fault> crossFaults = checkConfiguration(parsed.configuration, parsed.origins);
        result.faults.insert(result.faults.end(), crossFaults.begin(), crossFaults.end());
    }
    if (result.faults.empty())
        result.configuration = std::move(parsed.configuration);
    return result;
}

ReadResult readConfiguration(const std::vector<Document>& documents)
{
    return checkParsedSet(parseConfiguration(documents));
}

} // namespace Declarations
