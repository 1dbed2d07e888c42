#pragma once

#include <cstddef>
#include <string>

namespace StandInServer {

/// What goes wrong with the next requests; each counts down.
struct ServerFaults {
    /// Refused as not run.
    std::size_t refuse = 0;
    /// Run, and the connection is closed.
    std::size_t loseAnswer = 0;
    /// Run, and the answer breaks off.
    std::size_t truncate = 0;
    /// Run, and bytes come that are no answer.
    std::size_t garble = 0;
    /// Those bytes.
    std::string garbage = "HTP/9 what?\r\n\r\n";
    /// Run, and a second answer to an earlier request follows.
    std::size_t extra = 0;
    /// Run, and the server reports a failure.
    std::size_t fail = 0;
    /// The status of that failure.
    unsigned failStatus = 500;
    /// Run, and the answer bears no signature.
    std::size_t unsign = 0;
    /// Run, and the answer names no request.
    std::size_t unname = 0;
    /// Never answered.
    std::size_t silent = 0;
    /// Said not to be the server that was meant.
    std::size_t misdirect = 0;
};

} // namespace StandInServer
