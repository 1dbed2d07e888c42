#pragma once

#include <agreement/poolassignment.h>
#include <agreement/writer.h>
#include <agreement/writerprogress.h>
#include <declarations/keyrange.h>
#include <utils/ids.h>

#include <map>
#include <string>

namespace Agreement {

/// What the records up to \c applied have agreed: the same on every VM, and the content of a checkpoint.
struct AgreedState {
    /// Offset of the last record judged.
    Utils::Offset applied = 0;
    /// Offset of the newest checkpoint record; 0 for none.
    Utils::Offset checkpoint = 0;
    /// Offset of the configuration in force; 0 for none.
    Utils::Offset configurationOffset = 0;
    /// The configuration in force as text.
    std::string configurationText;
    std::map<Utils::PoolId, PoolAssignment> assignments;
    /// Ranges that are no longer declared but that an assignment or a former one still names.
    std::map<Utils::KeyRangeId, Declarations::KeyRange> retiredRanges;
    std::map<Writer, WriterProgress> writers;

    bool operator==(const AgreedState&) const = default;
};

} // namespace Agreement
