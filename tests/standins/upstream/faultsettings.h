#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace StandInUpstream {

/// Faults that are set by POST /faults; a field that is not sent keeps its value.
struct FaultSettings {
    /// Refuses all work as shedding.
    bool shed = false;
    /// Refuses all work as draining, and says so in its health.
    bool drain = false;
    /// Added to every service time.
    std::chrono::milliseconds slow { 0 };
    /// Ends the process, without a word, when it starts work whose target, body or Crash-Upstream header
    /// has the marker.
    bool crashOnMarker = true;
    /// Answers that are still to be lost after the work has run.
    unsigned loseAnswers = 0;
    /// Answers that are still to be cut midway through the body.
    unsigned cutAnswers = 0;
    /// Reads requests and never answers, on every connection.
    bool silent = false;
    /// How old a health answer is.
    std::chrono::milliseconds healthLag { 500 };
    /// Health claims to be idle and not draining.
    bool healthLies = false;
};

/// One command of POST /faults: the settings after it and what happens once.
struct FaultCommand {
    FaultSettings settings;
    /// Stops the whole process for this long.
    std::chrono::milliseconds freeze { 0 };
    /// Every connection open now goes silent for good; new ones work.
    bool silenceOpenConnections = false;
};

/// Text in a target, body or Crash-Upstream header that crashes the upstream.
inline constexpr std::string_view crashMarker = "crash-upstream";

/// The command in \a body on top of \a settings; nothing when it names an unknown fault or a value of a wrong
/// kind.
std::optional<FaultCommand> faultCommandFrom(const FaultSettings& settings, std::string_view body);

boost::json::object toJson(const FaultSettings& settings);

} // namespace StandInUpstream
