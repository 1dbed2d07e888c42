#pragma once

#include <agreement/logrecord.h>
#include <logservice/keptrange.h>

#include <vector>

namespace LogService {

/// Records from the log, in order and without gaps. Both ends of the range may lag.
struct ReadAnswer {
    KeptRange kept;
    std::vector<Agreement::LogRecord> records;

    bool operator==(const ReadAnswer&) const = default;
};

} // namespace LogService
