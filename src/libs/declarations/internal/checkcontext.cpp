#include <declarations/internal/checkcontext.h>

#include <utility>

namespace Declarations::Internal {

bool isSound(const CheckContext& context, const ObjectRef& ref)
{
    const Origins::const_iterator found = context.origins.find(ref);
    return found == context.origins.end() || found->second.sound;
}

void reportAt(
    CheckContext& context, FaultCode code, const ObjectRef& ref, std::string_view field, std::string detail)
{
    Fault fault { code, {}, {}, ref.kind, ref.name, std::move(detail) };
    const Origins::const_iterator found = context.origins.find(ref);
    if (found != context.origins.end()) {
        fault.file = found->second.file;
        fault.place = found->second.place;
    }
    fault.place += field;
    context.faults.push_back(std::move(fault));
}

} // namespace Declarations::Internal
