#pragma once

#include "testenvironment.h"

#include <chrono>
#include <string>
#include <vector>

namespace EdgeTest {

/// Upstreams that terminate when they begin to run a request whose path ends with "/poison", and start again.
struct CrashingUpstreams {
    explicit CrashingUpstreams(TestEnvironment& environment)
        : environment(environment)
    {
    }

    TestEnvironment& environment;
    /// How long an upstream is gone.
    std::chrono::milliseconds downtime { 700 };
    /// Whether connections of an upstream that terminates stay open without a response.
    bool silent = false;
    std::vector<std::chrono::steady_clock::time_point> crashTimes;
};

/// Adds \a count upstreams of the service "plain" that crash. \a crashing outlives the environment's context.
void addCrashingUpstreams(CrashingUpstreams& crashing, unsigned count);

/// The number of crashes that began later than \a stability after the third one.
std::size_t crashesAfterThird(const CrashingUpstreams& crashing, std::chrono::milliseconds stability);

} // namespace EdgeTest
