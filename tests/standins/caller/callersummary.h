#pragma once

#include <standins/caller/attemptresult.h>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace StandInCaller {

/// What became of one rank's requests.
struct RankSummary {
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::map<std::string, std::uint64_t> notRun;
    std::map<std::string, std::uint64_t> unknown;
    /// Sent later than they were due.
    std::uint64_t late = 0;
    std::uint64_t repeats = 0;
    /// Of those done, from when they were due.
    std::vector<std::chrono::microseconds> latencies;
};

/// Summaries by rank.
struct CallerSummary {
    std::map<std::string, RankSummary> ranks;
};

/// Adds a request that has come to its end.
void addFinal(RankSummary& summary, const AttemptResult& result, std::chrono::microseconds latency);

/// One line for a rank: counts by reason and the latencies at 50 and 99 in 100.
boost::json::object toJson(const std::string& rank, RankSummary summary);

} // namespace StandInCaller
