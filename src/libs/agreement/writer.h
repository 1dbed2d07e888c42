#pragma once

#include <agreement/writerkind.h>
#include <utils/ids.h>

#include <compare>
#include <string>

namespace Agreement {

/// One start of a VM or of the operators' command line, as the author of records.
struct Writer {
    WriterKind kind = WriterKind::Vm;
    /// Name of the VM or of the operator.
    std::string name;
    Utils::Incarnation incarnation = 0;

    auto operator<=>(const Writer&) const = default;
};

} // namespace Agreement
