#pragma once

#include <standins/journal/finding.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <vector>

namespace Journal {

/// What the journals of one run of the system show when they are held against each other.
struct Comparison {
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Broken promises.
    std::vector<Finding> findings;
    /// Requests that reached an upstream whose slots were all taken; it did not run them.
    std::uint64_t overcommits = 0;
    /// Times at which a shard's lease went to another upstream.
    std::uint64_t moves = 0;
    /// Sendings whose answer broke off, as the caller could tell.
    std::uint64_t brokenAnswers = 0;
    /// Runs on a shard that went on, after their upstream's lease, beside a run of the next owner.
    std::uint64_t runsBeside = 0;
    /// Longest time that a shard once owned was without a lease, in microseconds.
    std::int64_t orphanedMax = 0;
};

/// Findings of a kind.
std::uint64_t countOf(const Comparison& comparison, FindingKind kind);

/// The line that says whether requests were lost, doubled or cut.
boost::json::object summaryLine(const Comparison& comparison);

/// The further figures.
boost::json::object detailLine(const Comparison& comparison);

} // namespace Journal
