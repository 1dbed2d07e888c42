#pragma once

#include <standins/caller/mixrow.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace StandInCaller {

/// Settings of the stand-in callers.
struct CallerOptions {
    /// Start of every caller's name and of every request's number.
    std::string name = "caller";
    /// Entry VMs, "IP:PORT"; taken in turn.
    std::vector<std::string> entries;
    /// Requests a second.
    double rate = 100;
    std::chrono::milliseconds length { 10'000 };
    unsigned callers = 4;
    std::uint64_t seed = 1;
    /// Time limit of a request whose kind has none.
    std::chrono::milliseconds timeout { 2'000 };
    std::vector<MixRow> mix;
    /// Keys of each service.
    std::uint64_t keys = 1'000;
    /// Starts of the keys' names, taken in turn.
    std::vector<std::string> keyPrefixes { "key-" };
    /// Exponent of the keys' zipf distribution; 0 takes all alike.
    double zipfExponent = 0;
    /// Sendings after the first that a request may take.
    unsigned repeats = 5;
    /// Connections to each entry VM.
    std::size_t connections = 64;
    /// Trace to replay in place of the mix; empty for none.
    std::string trace;
    std::string journal;
    /// The entries are upstreams: answers have no outcome header.
    bool direct = false;
};

/// Reads the command line; ends the process with a message when it is wrong.
CallerOptions optionsFromCommandLine(int argc, char** argv);

} // namespace StandInCaller
