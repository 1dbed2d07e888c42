#pragma once

#include <agreement/verdict.h>
#include <utils/ids.h>

namespace Agreement {

/// The verdict on one record.
struct JudgedRecord {
    Utils::Offset offset = 0;
    Verdict verdict = Verdict::Accepted;

    bool operator==(const JudgedRecord&) const = default;
};

} // namespace Agreement
