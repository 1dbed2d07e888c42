#include <standins/upstream/upstreamoptions.h>

#include <tclap/CmdLine.h>

namespace StandInUpstream {

UpstreamOptions optionsFromCommandLine(int argc, char** argv)
{
    const UpstreamOptions defaults;
    TCLAP::CmdLine line("Stand-in for an upstream server.", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "IP:PORT", true, "", "ip:port", line);
    TCLAP::ValueArg<std::string> name("", "name", "declared name", true, "", "name", line);
    TCLAP::ValueArg<unsigned> slots("", "slots", "requests at a time", false, defaults.slots, "count", line);
    TCLAP::ValueArg<std::int64_t> service(
        "", "service-ms", "mean service time", false, defaults.service.count(), "ms", line);
    TCLAP::ValueArg<std::string> journal("", "journal", "journal file", false, "", "file", line);
    TCLAP::SwitchArg noCheck("", "no-check", "does not check grants and tokens", line);
    TCLAP::ValueArg<std::int64_t> coldStart(
        "", "cold-start-ms", "length of the cold start", false, 0, "ms", line);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "seed of the service times", false, defaults.seed, "n", line);
    line.parse(argc, argv);

    UpstreamOptions options;
    options.listen = listen.getValue();
    options.name = name.getValue();
    options.slots = slots.getValue();
    options.service = std::chrono::milliseconds(service.getValue());
    options.journal = journal.getValue();
    options.checksGrants = !noCheck.getValue();
    options.coldStart = std::chrono::milliseconds(coldStart.getValue());
    options.seed = seed.getValue();
    return options;
}

} // namespace StandInUpstream
