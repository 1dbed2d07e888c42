#include <declarations/successioncheck.h>

#include <declarations/internal/checkcontext.h>

#include <string>
#include <utility>

namespace Declarations {

namespace {

using Internal::CheckContext;

void checkUnchanged(
    CheckContext& context, const ObjectRef& ref, bool same, std::string_view field, std::string_view what)
{
    if (same)
        return;
    reportAt(context, FaultCode::KeyRangeReshaped, ref, field,
        "the " + std::string(what) + " of a key range in force can't be changed");
}

void checkSameName(CheckContext& context, const KeyRange& current, const KeyRange& next)
{
    const ObjectRef ref { ObjectKind::KeyRange, next.id.value };
    checkUnchanged(context, ref, current.service == next.service, "/service", "service");
    checkUnchanged(context, ref, current.from == next.from, "/from", "lower bound");
    checkUnchanged(context, ref, current.to == next.to, "/to", "upper bound");
    checkUnchanged(context, ref, current.shards == next.shards, "/shards", "number of shards");
}

} // namespace

std::vector<Fault> checkSuccession(
    const Configuration& current, const Configuration& next, const Origins& origins)
{
    std::vector<Fault> faults;
    CheckContext context { next, origins, faults };
    for (const std::pair<const Utils::KeyRangeId, KeyRange>& entry : next.keyRanges) {
        const std::map<Utils::KeyRangeId, KeyRange>::const_iterator same
            = current.keyRanges.find(entry.first);
        if (same != current.keyRanges.end())
            checkSameName(context, same->second, entry.second);
    }
    return faults;
}

} // namespace Declarations
