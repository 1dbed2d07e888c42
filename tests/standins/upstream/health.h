#pragma once

#include <standins/upstream/healthsample.h>

#include <chrono>
#include <deque>
#include <string>

namespace StandInUpstream {

struct UpstreamServer;

/// Past samples, oldest first, so that health can lag.
struct HealthHistory {
    std::deque<HealthSample> samples;
};

/// Adds what is true now.
void noteHealth(UpstreamServer& server);

/// The health answer in JSON: late by the lag that is set, and false when it is set to lie.
std::string healthAnswer(const UpstreamServer& server);

} // namespace StandInUpstream
