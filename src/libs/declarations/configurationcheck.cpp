#include <declarations/configurationcheck.h>

#include <declarations/configurationwriter.h>
#include <declarations/declarationsconstants.h>
#include <declarations/internal/checkcontext.h>

#include <string>

namespace Declarations {

namespace {

void checkWholeSet(Internal::CheckContext& context)
{
    if (context.configuration.services.empty())
        reportAt(context, FaultCode::NoServices, {}, "", "the set declares no service");
    if (!context.faults.empty())
        return;
    const std::size_t bytes = writeConfiguration(context.configuration).size();
    if (bytes > maxConfigurationBytes) {
        reportAt(context, FaultCode::ConfigurationTooLarge, {}, "",
            "the set takes " + std::to_string(bytes) + " bytes in the log and may take "
                + std::to_string(maxConfigurationBytes));
    }
}

} // namespace

std::vector<Fault> checkConfiguration(const Configuration& configuration, const Origins& origins)
{
    std::vector<Fault> faults;
    Internal::CheckContext context { configuration, origins, faults };
    Internal::checkPlaces(context);
    Internal::checkRanks(context);
    Internal::checkPolicies(context);
    Internal::checkPools(context);
    Internal::checkServices(context);
    Internal::checkKeyRanges(context);
    checkWholeSet(context);
    return faults;
}

} // namespace Declarations
