#pragma once

#include <declarations/configuration.h>
#include <declarations/fault.h>
#include <declarations/objectref.h>
#include <declarations/origin.h>
#include <utils/id.h>

#include <string>
#include <string_view>
#include <vector>

namespace Declarations::Internal {

/// A configuration under check and the faults found so far.
struct CheckContext {
    const Configuration& configuration;
    const Origins& origins;
    std::vector<Fault>& faults;
};

/// Whether the fields of \a ref could all be read.
bool isSound(const CheckContext& context, const ObjectRef& ref);

/// Reports a fault of \a ref at the JSON pointer \a field below it; an empty one is the object itself.
void reportAt(
    CheckContext& context, FaultCode code, const ObjectRef& ref, std::string_view field, std::string detail);

/// Reports \a code when \a objects has no \a name. An empty name of an object that could not be read has been
/// reported before.
template <typename Map, typename Tag>
void checkReference(CheckContext& context, FaultCode code, const Map& objects, const Utils::Id<Tag>& name,
    const ObjectRef& ref, std::string_view field)
{
    if (objects.contains(name) || (name.value.empty() && !isSound(context, ref)))
        return;
    reportAt(context, code, ref, field, "\"" + name.value + "\" is not declared");
}

/// Regions, availability zones and links.
void checkPlaces(CheckContext& context);
/// Ranks and policies.
void checkRanks(CheckContext& context);
void checkPolicies(CheckContext& context);
/// Pools and their upstreams.
void checkPools(CheckContext& context);
void checkServices(CheckContext& context);
/// References of key ranges, and that the ranges of each service cover every key once.
void checkKeyRanges(CheckContext& context);

} // namespace Declarations::Internal
