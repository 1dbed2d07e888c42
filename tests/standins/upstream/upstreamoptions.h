#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace StandInUpstream {

/// Settings of the stand-in upstream.
struct UpstreamOptions {
    /// IP number and port to listen on, "127.0.0.1:7000"; port 0 takes a free one.
    std::string listen = "127.0.0.1:0";
    std::string name = "upstream";
    /// Requests run at a time.
    unsigned slots = 2;
    /// Mean of the service time.
    std::chrono::milliseconds service { 5 };
    /// Journal file; empty for none.
    std::string journal;
    /// Whether it checks grants and fencing tokens.
    bool checksGrants = true;
    /// Time after the start during which requests take longer.
    std::chrono::milliseconds coldStart { 0 };
    /// Seed of the service times.
    std::uint64_t seed = 1;
};

/// Reads the command line; ends the process with a message when it is wrong.
UpstreamOptions optionsFromCommandLine(int argc, char** argv);

} // namespace StandInUpstream
