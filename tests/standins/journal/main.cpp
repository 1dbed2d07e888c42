#include <standins/journal/compare.h>
#include <standins/journal/journalreader.h>

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <tclap/CmdLine.h>

#include <cstddef>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr std::size_t mostFindingsShown = 20;

void printFindings(const std::vector<Journal::Finding>& findings)
{
    std::size_t shown = 0;
    for (const Journal::Finding& finding : findings) {
        if (++shown > mostFindingsShown)
            return;
        boost::json::object line;
        line["finding"] = Utils::enumName(Journal::findingKindNames, finding.kind);
        line["subject"] = finding.subject;
        line["upstreams"] = finding.upstreams;
        line["at_us"] = finding.at;
        line["length_us"] = finding.length;
        std::cerr << boost::json::serialize(line) << "\n";
    }
}

boost::leaf::result<int> run(
    const std::vector<std::string>& callers, const std::vector<std::string>& upstreams)
{
    Journal::JournalSet set;
    for (const std::string& path : callers)
        BOOST_LEAF_CHECK(Journal::readCallerJournal(set, path));
    for (const std::string& path : upstreams)
        BOOST_LEAF_CHECK(Journal::readUpstreamJournal(set, path));
    const Journal::Comparison comparison = Journal::compare(set);
    printFindings(comparison.findings);
    std::cout << boost::json::serialize(Journal::detailLine(comparison)) << "\n"
              << boost::json::serialize(Journal::summaryLine(comparison)) << "\n";
    return Journal::isClean(comparison) ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Holds callers' and upstreams' journals against each other.", ' ', "0.1");
    TCLAP::MultiArg<std::string> callers("", "caller", "a caller's journal", true, "file", line);
    TCLAP::MultiArg<std::string> upstreams("", "upstream", "an upstream's journal", true, "file", line);
    line.parse(argc, argv);
    return boost::leaf::try_handle_all(
        [&callers, &upstreams] { return run(callers.getValue(), upstreams.getValue()); },
        [](Journal::JournalError error, const Journal::JournalPlace& place) {
            std::cerr << "comparejournals: " << place.path << ":" << place.line << ": "
                      << Utils::enumName(Journal::journalErrorNames, error) << "\n";
            return EXIT_FAILURE;
        },
        [] {
            std::cerr << "comparejournals: failed\n";
            return EXIT_FAILURE;
        });
}
