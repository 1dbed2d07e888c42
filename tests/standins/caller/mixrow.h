#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace StandInCaller {

/// One kind of request in a mix.
struct MixRow {
    std::string rank;
    std::string method;
    std::string service;
    /// Share of all requests, against the sum of the weights.
    double weight = 1;
    /// Bytes of the answer (GET, HEAD) or of the body (others); 0 asks for the echo or sends a short body.
    std::uint64_t bytes = 0;
    /// Time limit; 0 takes the one for all.
    std::chrono::milliseconds timeout { 0 };

    bool operator==(const MixRow&) const = default;
};

/// Reads "rank:method:service:weight[:bytes[:timeout_ms]]", several separated by commas.
std::optional<std::vector<MixRow>> mixFrom(std::string_view text);

} // namespace StandInCaller
