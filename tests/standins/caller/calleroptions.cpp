#include <standins/caller/calleroptions.h>

#include <tclap/CmdLine.h>

#include <optional>

namespace StandInCaller {

namespace Internal {

std::vector<MixRow> mixOrFail(TCLAP::CmdLine& line, TCLAP::ValueArg<std::string>& argument)
{
    std::optional<std::vector<MixRow>> mix = mixFrom(argument.getValue());
    if (mix)
        return std::move(*mix);
    TCLAP::CmdLineParseException problem("not a mix", argument.longID());
    line.getOutput()->failure(line, problem);
    return {};
}

} // namespace Internal

CallerOptions optionsFromCommandLine(int argc, char** argv)
{
    const CallerOptions defaults;
    TCLAP::CmdLine line("Stand-in for callers: a fixed schedule of requests, or a trace.", ' ', "0.1");
    TCLAP::ValueArg<std::string> name(
        "", "name", "start of callers' names", false, defaults.name, "name", line);
    TCLAP::MultiArg<std::string> entries("", "entry", "entry VM, repeated for each", true, "ip:port", line);
    TCLAP::ValueArg<double> rate("", "rate", "requests a second", false, defaults.rate, "n", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "length of the schedule", false, 10, "s", line);
    TCLAP::ValueArg<unsigned> callers("", "callers", "number of callers", false, defaults.callers, "n", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the schedule", false, defaults.seed, "n", line);
    TCLAP::ValueArg<std::int64_t> timeout(
        "", "timeout-ms", "time limit of a request", false, defaults.timeout.count(), "ms", line);
    TCLAP::ValueArg<std::string> mix("", "mix", "rank:method:service:weight[:bytes[:timeout_ms]],...", false,
        "urgent:GET:stock:1", "mix", line);
    TCLAP::ValueArg<std::uint64_t> keys("", "keys", "keys of each service", false, defaults.keys, "n", line);
    TCLAP::MultiArg<std::string> keyPrefixes(
        "", "key-prefix", "start of a key's name, repeated for each", false, "text", line);
    TCLAP::ValueArg<double> zipf(
        "", "zipf", "exponent of the keys' distribution, 0 for uniform", false, 0, "x", line);
    TCLAP::ValueArg<unsigned> repeats(
        "", "repeats", "repeats of a request", false, defaults.repeats, "n", line);
    TCLAP::ValueArg<std::size_t> connections(
        "", "connections", "connections to each entry VM", false, defaults.connections, "n", line);
    TCLAP::ValueArg<std::string> trace("", "trace", "trace to replay", false, "", "file", line);
    TCLAP::ValueArg<std::string> journal("", "journal", "journal file", false, "", "file", line);
    TCLAP::SwitchArg direct("", "direct", "the entries are upstreams", line);
    line.parse(argc, argv);

    constexpr double millisecondsPerSecond = 1000;
    CallerOptions options;
    options.name = name.getValue();
    options.entries = entries.getValue();
    options.rate = rate.getValue();
    options.length
        = std::chrono::milliseconds(static_cast<std::int64_t>(seconds.getValue() * millisecondsPerSecond));
    options.callers = callers.getValue();
    options.seed = seed.getValue();
    options.timeout = std::chrono::milliseconds(timeout.getValue());
    options.mix = Internal::mixOrFail(line, mix);
    options.keys = keys.getValue();
    if (keyPrefixes.isSet())
        options.keyPrefixes = keyPrefixes.getValue();
    options.zipfExponent = zipf.getValue();
    options.repeats = repeats.getValue();
    options.connections = connections.getValue();
    options.trace = trace.getValue();
    options.journal = journal.getValue();
    options.direct = direct.getValue();
    return options;
}

} // namespace StandInCaller
