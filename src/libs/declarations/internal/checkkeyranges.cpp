#include <declarations/internal/checkcontext.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Declarations::Internal {

namespace {

ObjectRef refOf(const KeyRange& range) { return { ObjectKind::KeyRange, range.id.value }; }

bool isEmpty(const KeyRange& range) { return range.to.has_value() && *range.to <= range.from; }

bool endsBefore(const std::optional<std::string>& left, const std::optional<std::string>& right)
{
    return left.has_value() && (!right.has_value() || *left < *right);
}

void checkRange(CheckContext& context, const KeyRange& range)
{
    const ObjectRef ref = refOf(range);
    const Configuration& configuration = context.configuration;
    checkReference(
        context, FaultCode::UnknownService, configuration.services, range.service, ref, "/service");
    checkReference(context, FaultCode::UnknownPool, configuration.pools, range.pool, ref, "/pool");
    if (isSound(context, ref) && isEmpty(range)) {
        reportAt(
            context, FaultCode::KeyRangeEmpty, ref, "/to", "\"to\" must come after \"from\" in byte order");
    }
}

std::vector<const KeyRange*> rangesOf(const Configuration& configuration, const Utils::ServiceId& service)
{
    std::vector<const KeyRange*> ranges;
    for (const std::pair<const Utils::KeyRangeId, KeyRange>& entry : configuration.keyRanges) {
        if (entry.second.service == service)
            ranges.push_back(&entry.second);
    }
    std::sort(ranges.begin(), ranges.end(),
        [](const KeyRange* left, const KeyRange* right) { return left->from < right->from; });
    return ranges;
}

std::string gapText(const std::string& from, const std::string& to)
{
    return "keys from \"" + from + "\" up to \"" + to + "\" belong to no range";
}

/// Compares a range with the one before it; \a covered is the end of all keys covered so far.
void checkJoint(CheckContext& context, const KeyRange& range, const KeyRange* widest,
    const std::optional<std::string>& covered)
{
    if (!covered.has_value() || range.from < *covered) {
        reportAt(context, FaultCode::KeyRangesOverlap, refOf(range), "/from",
            "range \"" + widest->id.value + "\" has keys from \"" + range.from + "\" on too");
        return;
    }
    if (*covered < range.from) {
        reportAt(context, FaultCode::KeyRangesGap, refOf(range), "/from", gapText(*covered, range.from));
    }
}

void checkCoverage(CheckContext& context, const Utils::ServiceId& service)
{
    const std::vector<const KeyRange*> ranges = rangesOf(context.configuration, service);
    if (ranges.empty()) {
        reportAt(context, FaultCode::KeyRangesGap, { ObjectKind::Service, service.value }, "",
            "the service has no key ranges");
        return;
    }
    std::optional<std::string> covered = "";
    const KeyRange* widest = nullptr;
    for (const KeyRange* range : ranges) {
        checkJoint(context, *range, widest, covered);
        if (!widest || endsBefore(covered, range->to)) {
            widest = range;
            covered = range->to;
        }
    }
    if (covered.has_value()) {
        reportAt(context, FaultCode::KeyRangesGap, refOf(*widest), "/to",
            "keys from \"" + *covered + "\" on belong to no range");
    }
}

/// Services whose ranges can be laid side by side; nothing when a range's service is not known.
std::set<Utils::ServiceId> comparableServices(const CheckContext& context)
{
    std::set<Utils::ServiceId> services;
    for (const std::pair<const Utils::ServiceId, Service>& entry : context.configuration.services)
        services.insert(entry.first);
    for (const std::pair<const Utils::KeyRangeId, KeyRange>& entry : context.configuration.keyRanges) {
        const KeyRange& range = entry.second;
        const bool readable = isSound(context, refOf(range)) && !isEmpty(range);
        if (readable && context.configuration.services.contains(range.service))
            continue;
        if (!context.configuration.services.contains(range.service))
            return {};
        services.erase(range.service);
    }
    return services;
}

} // namespace

void checkKeyRanges(CheckContext& context)
{
    for (const std::pair<const Utils::KeyRangeId, KeyRange>& entry : context.configuration.keyRanges)
        checkRange(context, entry.second);
    for (const Utils::ServiceId& service : comparableServices(context))
        checkCoverage(context, service);
}

} // namespace Declarations::Internal
