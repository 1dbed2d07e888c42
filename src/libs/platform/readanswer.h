#pragma once

#include <agreement/logrecord.h>
#include <platform/keptrange.h>

#include <vector>

namespace Platform {

/// Records from the log, in order and without gaps. Both ends of the range may lag.
struct ReadAnswer {
    KeptRange kept;
    std::vector<Agreement::LogRecord> records;

    bool operator==(const ReadAnswer&) const = default;
};

} // namespace Platform
