#include "faultprinter.h"

namespace Declarations {

std::ostream& operator<<(std::ostream& stream, const Fault& fault)
{
    return stream << Utils::enumName(faultCodeNames, fault.code) << ' ' << fault.file << fault.place << ' '
                  << Utils::enumName(objectKindNames, fault.kind) << ' ' << fault.object << ": "
                  << fault.detail;
}

std::ostream& operator<<(std::ostream& stream, const Change& change)
{
    return stream << Utils::enumName(changeKindNames, change.change) << ' '
                  << Utils::enumName(objectKindNames, change.kind) << ' ' << change.object << change.field
                  << ": " << change.oldValue << " -> " << change.newValue;
}

} // namespace Declarations
