#pragma once

#include <agreement/agreedstate.h>
#include <agreement/recordheader.h>

namespace Agreement {

/// The whole state after the record at \c state.applied, tokens kept, so that a VM can start without the
/// records before it. Every record after \c state.applied still counts.
struct CheckpointRecord {
    RecordHeader header;
    AgreedState state;

    bool operator==(const CheckpointRecord&) const = default;
};

} // namespace Agreement
