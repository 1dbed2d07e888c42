#include <standins/log/logservice.h>
#include <standins/support/standinmain.h>

#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    const StandInLog::LogOptions defaults;
    TCLAP::CmdLine line("Stand-in for the platform's log service.", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "where to listen", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::int64_t> retention(
        "", "retention-ms", "age at which records go", false, defaults.retentionMs, "ms", line);
    TCLAP::ValueArg<std::size_t> count("", "retention-count", "most records kept of a stream", false,
        defaults.retentionCount, "count", line);
    line.parse(argc, argv);

    boost::asio::io_context context(1);
    StandInLog::LogService service(context);
    service.options.retentionMs = retention.getValue();
    service.options.retentionCount = count.getValue();
    return StandInSupport::serveUntilStopped(
        context, "standinlog", listen.getValue(), StandInLog::handlerOf(service));
}
