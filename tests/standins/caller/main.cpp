#include <standins/caller/callerclient.h>
#include <standins/caller/schedule.h>
#include <standins/caller/tracereader.h>

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace {

boost::leaf::result<std::vector<StandInCaller::PlannedRequest>> planFor(
    const StandInCaller::CallerOptions& options)
{
    if (options.trace.empty())
        return StandInCaller::planRequests(options);
    std::ifstream trace(options.trace);
    return StandInCaller::readTrace(trace, options.timeout);
}

boost::leaf::result<int> run(const StandInCaller::CallerOptions& options)
{
    BOOST_LEAF_ASSIGN(std::vector<StandInCaller::PlannedRequest> plan, planFor(options));
    boost::asio::io_context context(1);
    StandInCaller::CallerClient client(context, options, std::move(plan));
    const boost::system::error_code error = StandInCaller::addEntries(client);
    if (error)
        return boost::leaf::new_error(error);
    StandInCaller::startSchedule(client);
    context.run();
    for (const std::pair<const std::string, StandInCaller::RankSummary>& entry : client.summary.ranks)
        std::cout << boost::json::serialize(StandInCaller::toJson(entry.first, entry.second)) << "\n";
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    const StandInCaller::CallerOptions options = StandInCaller::optionsFromCommandLine(argc, argv);
    return boost::leaf::try_handle_all([&options] { return run(options); },
        [](StandInCaller::TraceError error, StandInCaller::TraceLine line) {
            std::cerr << "standincaller: trace line " << line.number << ": "
                      << Utils::enumName(StandInCaller::traceErrorNames, error) << "\n";
            return EXIT_FAILURE;
        },
        [](const boost::system::error_code& error) {
            std::cerr << "standincaller: entry: " << error.message() << "\n";
            return EXIT_FAILURE;
        },
        [] {
            std::cerr << "standincaller: failed\n";
            return EXIT_FAILURE;
        });
}
