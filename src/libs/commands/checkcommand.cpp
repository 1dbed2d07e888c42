#include <commands/checkcommand.h>

#include <commands/argumentparsing.h>
#include <commands/declarationset.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <tclap/SwitchArg.h>
#include <tclap/UnlabeledMultiArg.h>

#include <utility>

namespace Commands {

namespace {

using Declarations::Configuration;

std::size_t upstreamCount(const Configuration& configuration)
{
    std::size_t count = 0;
    for (const std::pair<const Utils::PoolId, Declarations::UpstreamPool>& pool : configuration.pools)
        count += pool.second.upstreams.size();
    return count;
}

std::size_t shardCount(const Configuration& configuration)
{
    std::size_t count = 0;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& range : configuration.keyRanges)
        count += range.second.shards;
    return count;
}

void writeSummary(Console& console, OutputFormat format, const Internal::DeclarationSet& set)
{
    const Configuration& configuration = *set.configuration;
    if (format == OutputFormat::Json) {
        boost::json::object document;
        document["result"] = "ok";
        document["files"] = set.files;
        document["regions"] = configuration.regions.size();
        document["zones"] = configuration.zones.size();
        document["services"] = configuration.services.size();
        document["pools"] = configuration.pools.size();
        document["upstreams"] = upstreamCount(configuration);
        document["shards"] = shardCount(configuration);
        console.out << boost::json::serialize(document) << '\n';
        return;
    }
    console.out << "ok: " << set.files << " files, " << configuration.regions.size() << " regions, "
                << configuration.zones.size() << " zones, " << configuration.services.size() << " services, "
                << configuration.pools.size() << " pools, " << upstreamCount(configuration) << " upstreams, "
                << shardCount(configuration) << " shards\n";
}

} // namespace

ExitCode runCheck(const std::vector<std::string>& arguments, Console console)
{
    TCLAP::CmdLine line(
        "Checks a set of declarations: every fault is listed with its file, its place in the "
        "file (a JSON pointer) and its object. Ends with 0 when there is none, 1 when there are "
        "faults, 5 when a path is not there.");
    TCLAP::SwitchArg json("", "json", "Write one JSON document", line);
    TCLAP::UnlabeledMultiArg<std::string> paths(
        "path", "Files, or folders whose *.json files belong to the set", true, "PATH", line);
    const std::optional<ExitCode> end = Internal::parseArguments(line, arguments, console);
    if (end.has_value())
        return *end;
    const OutputFormat format = json.getValue() ? OutputFormat::Json : OutputFormat::Text;
    const Internal::DeclarationSet set = Internal::readDeclarationSet(console, format, paths.getValue());
    if (!set.configuration.has_value())
        return set.failure;
    writeSummary(console, format, set);
    return ExitCode::Ok;
}

} // namespace Commands
