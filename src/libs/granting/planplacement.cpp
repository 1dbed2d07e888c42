#include <granting/grantingconstants.h>
#include <granting/planplacement.h>

#include <algorithm>
#include <map>
#include <set>

namespace Granting {

namespace Internal {

/// Share of the load that is taken to lie evenly over all keys, for those that were not seen lately.
constexpr double evenShare = 0.15;
/// Least even load, in requests a second, for a service without traffic.
constexpr double leastEvenLoad = 2;
/// An upstream is relieved beyond this many times its share, if it is also this busy.
constexpr double ratioToRelieve = 1.3;
constexpr double useToRelieve = 0.4;
/// An upstream with less than this part of its share gets more, however busy the others are.
constexpr double ratioToFill = 0.25;
/// Requests a second that are worth a move.
constexpr double leastMove = 0.2;
/// Moves in one plan: for few upstreams, and for each of many.
constexpr std::size_t fewMoves = 8;
constexpr std::size_t upstreamsPerMove = 4;
/// Use, as a multiple of the mean, up to which a neighbour takes keys before any other: its span grows, and
/// no call more is needed to renew it.
constexpr double neighbourUse = 1.1;
/// Chunks that the keys of a lost upstream are dealt in, for each upstream that is left.
constexpr double chunksEach = 3;

struct Plan {
    std::vector<KeyPlacement> placements;
    /// Load of all keys before the one at this position.
    std::vector<double> before;
    std::vector<PlacementTarget> servers;
    std::map<Utils::UpstreamId, double> loads;
    double total = 0;
    double totalCapacity = 0;
};

std::vector<double> sumsBefore(const KeyLoad& load)
{
    constexpr std::size_t keys = std::size_t(UINT16_MAX) + 1;
    double measured = 0;
    for (const float rate : load.rates)
        measured += rate;
    const double even = std::max(leastEvenLoad, measured * evenShare) / static_cast<double>(keys);
    std::vector<double> sums(keys + 1, 0);
    for (std::size_t key = 0; key < keys; ++key)
        sums[key + 1] = sums[key] + even + (load.rates.empty() ? 0 : load.rates[key]);
    return sums;
}

double loadOf(const Plan& plan, const Routing::KeySpan& span)
{
    return plan.before[static_cast<std::size_t>(span.last) + 1] - plan.before[span.first];
}

double shareOf(const Plan& plan, const PlacementTarget& server)
{
    return plan.total * server.capacity / plan.totalCapacity;
}

double ratioOf(const Plan& plan, const PlacementTarget& server)
{
    const auto found = plan.loads.find(server.id);
    return found == plan.loads.end() ? 0 : found->second / shareOf(plan, server);
}

/// The last key of the longest span from \a first on, within \a span, with at most \a load; at least one key.
std::uint16_t lastKeyWithin(const Plan& plan, const Routing::KeySpan& span, double load)
{
    const auto begin = plan.before.begin() + span.first + 1;
    const auto end = plan.before.begin() + span.last + 2;
    const auto beyond = std::upper_bound(begin, end, plan.before[span.first] + load);
    const std::ptrdiff_t keys = std::max<std::ptrdiff_t>(beyond - begin, 1);
    return static_cast<std::uint16_t>(span.first + keys - 1);
}

void makeFirst(Plan& plan)
{
    std::uint32_t first = 0;
    double due = 0;
    for (std::size_t index = 0; index < plan.servers.size() && first <= UINT16_MAX; ++index) {
        due += shareOf(plan, plan.servers[index]);
        Routing::KeySpan span { static_cast<std::uint16_t>(first), UINT16_MAX };
        if (index + 1 < plan.servers.size())
            span.last = lastKeyWithin(plan, span, due - plan.before[first]);
        plan.placements.push_back({ span, plan.servers[index].id });
        first = static_cast<std::uint32_t>(span.last) + 1;
    }
}

/// The first key of the longest span up to the last of \a span with at most \a load; at least one key.
std::uint16_t firstKeyWithin(const Plan& plan, const Routing::KeySpan& span, double load)
{
    const auto begin = plan.before.begin() + span.first;
    const auto end = plan.before.begin() + span.last;
    const double sumAtEnd = plan.before[static_cast<std::size_t>(span.last) + 1];
    return static_cast<std::uint16_t>(std::lower_bound(begin, end, sumAtEnd - load) - plan.before.begin());
}

void countLoads(Plan& plan)
{
    plan.loads.clear();
    for (const KeyPlacement& placement : plan.placements)
        plan.loads[placement.holder] += loadOf(plan, placement.span);
}

const PlacementTarget& leastLoaded(const Plan& plan)
{
    return *std::min_element(plan.servers.begin(), plan.servers.end(),
        [&](const PlacementTarget& one, const PlacementTarget& other) {
            return ratioOf(plan, one) < ratioOf(plan, other);
        });
}

bool isServer(const Plan& plan, const Utils::UpstreamId& id)
{
    return std::any_of(plan.servers.begin(), plan.servers.end(),
        [&](const PlacementTarget& server) { return server.id == id; });
}

bool dealOrphans(Plan& plan)
{
    const double chunk = plan.total / (static_cast<double>(plan.servers.size()) * chunksEach);
    std::vector<KeyPlacement> dealt;
    bool changed = false;
    for (const KeyPlacement& placement : plan.placements) {
        if (isServer(plan, placement.holder)) {
            dealt.push_back(placement);
            continue;
        }
        changed = true;
        Routing::KeySpan left = placement.span;
        while (true) {
            const Routing::KeySpan piece { left.first, lastKeyWithin(plan, left, chunk) };
            const Utils::UpstreamId holder = leastLoaded(plan).id;
            plan.loads[holder] += loadOf(plan, piece);
            dealt.push_back({ piece, holder });
            if (piece.last == left.last)
                break;
            left.first = static_cast<std::uint16_t>(piece.last + 1);
        }
    }
    plan.placements = std::move(dealt);
    return changed;
}

double useOf(const Plan& plan, const PlacementTarget& server)
{
    const auto found = plan.loads.find(server.id);
    return found == plan.loads.end() ? 0 : found->second / server.capacity;
}

/// The upstream that would be the least busy with \a moved on top of what it has.
const PlacementTarget& receiverFor(const Plan& plan, double moved)
{
    return *std::min_element(plan.servers.begin(), plan.servers.end(),
        [&](const PlacementTarget& one, const PlacementTarget& other) {
            return useOf(plan, one) + moved / one.capacity < useOf(plan, other) + moved / other.capacity;
        });
}

/// The holder of the span beside the one at \a index, if it is an upstream that has room for \a moved.
const PlacementTarget* neighbourFor(const Plan& plan, std::size_t index, bool before, double moved)
{
    const bool exists = before ? index > 0 : index + 1 < plan.placements.size();
    if (!exists)
        return nullptr;
    const Utils::UpstreamId& holder = plan.placements[before ? index - 1 : index + 1].holder;
    const auto found = std::find_if(plan.servers.begin(), plan.servers.end(),
        [&holder](const PlacementTarget& server) { return server.id == holder; });
    if (found == plan.servers.end())
        return nullptr;
    const double mean = plan.total / plan.totalCapacity;
    return useOf(plan, *found) + moved / found->capacity <= mean * neighbourUse ? &*found : nullptr;
}

/// Positions of the donor's spans, those with the most load first.
std::vector<std::size_t> spansOf(const Plan& plan, const Utils::UpstreamId& donor)
{
    std::vector<std::size_t> positions;
    for (std::size_t index = 0; index < plan.placements.size(); ++index) {
        if (plan.placements[index].holder == donor)
            positions.push_back(index);
    }
    std::sort(positions.begin(), positions.end(), [&](std::size_t one, std::size_t other) {
        return loadOf(plan, plan.placements[one].span) > loadOf(plan, plan.placements[other].span);
    });
    return positions;
}

/// Gives \a piece, which begins or ends the span at \a index, to \a receiver.
void cutOff(Plan& plan, std::size_t index, const Routing::KeySpan& piece, const Utils::UpstreamId& receiver)
{
    const KeyPlacement whole = plan.placements[index];
    const double moved = loadOf(plan, piece);
    plan.loads[whole.holder] -= moved;
    plan.loads[receiver] += moved;
    plan.placements[index] = { piece, receiver };
    const auto position = plan.placements.begin() + static_cast<std::ptrdiff_t>(index);
    if (piece.last != whole.span.last)
        plan.placements.insert(
            position + 1, { { static_cast<std::uint16_t>(piece.last + 1), whole.span.last }, whole.holder });
    else if (piece.first != whole.span.first)
        plan.placements.insert(
            position, { { whole.span.first, static_cast<std::uint16_t>(piece.first - 1) }, whole.holder });
}

/// Moves part of one of the donor's spans, from either end, where that leaves both less busy than the donor
/// was. Keys beside one that is too busy to be moved itself are moved away from it. At the limit of segments
/// only whole spans move, and parts to a neighbour, whose span grows.
bool relieve(Plan& plan, const PlacementTarget& donor, double excess)
{
    const double before = useOf(plan, donor);
    const bool full = plan.placements.size() >= maxSegments;
    for (const std::size_t index : spansOf(plan, donor.id)) {
        const Routing::KeySpan whole = plan.placements[index].span;
        std::vector<Routing::KeySpan> pieces { { whole.first, lastKeyWithin(plan, whole, excess) },
            { firstKeyWithin(plan, whole, excess), whole.last } };
        if (full)
            pieces.push_back(whole);
        for (const Routing::KeySpan& piece : pieces) {
            const double moved = loadOf(plan, piece);
            const PlacementTarget* const neighbour
                = neighbourFor(plan, index, piece.first == whole.first, moved);
            if (full && !neighbour && piece != whole)
                continue;
            const PlacementTarget& receiver = neighbour ? *neighbour : receiverFor(plan, moved);
            const bool better = receiver.id != donor.id
                && useOf(plan, receiver) + moved / receiver.capacity < before - moved / donor.capacity / 2;
            if (!better || moved < leastMove)
                continue;
            cutOff(plan, index, piece, receiver.id);
            return true;
        }
    }
    return false;
}

/// Upstreams with more than their share, the most loaded first.
std::vector<PlacementTarget> donorsOf(const Plan& plan)
{
    std::vector<std::pair<double, PlacementTarget>> loaded;
    for (const PlacementTarget& server : plan.servers) {
        const double ratio = ratioOf(plan, server);
        if (ratio > 1)
            loaded.emplace_back(ratio, server);
    }
    std::stable_sort(loaded.begin(), loaded.end(),
        [](const std::pair<double, PlacementTarget>& one, const std::pair<double, PlacementTarget>& other) {
            return one.first > other.first;
        });
    std::vector<PlacementTarget> donors;
    donors.reserve(loaded.size());
    for (const std::pair<double, PlacementTarget>& donor : loaded)
        donors.push_back(donor.second);
    return donors;
}

/// Relieves one upstream. One that can't be relieved, as its load lies on a single key, is added to \a stuck
/// and does not keep the others from it.
bool moveOne(Plan& plan, std::set<Utils::UpstreamId>& stuck)
{
    const PlacementTarget idlest = leastLoaded(plan);
    const bool tooIdle = ratioOf(plan, idlest) < ratioToFill;
    const double room = shareOf(plan, idlest) - plan.loads[idlest.id];
    for (const PlacementTarget& donor : donorsOf(plan)) {
        const bool tooBusy = ratioOf(plan, donor) > ratioToRelieve && useOf(plan, donor) > useToRelieve;
        if (stuck.contains(donor.id) || (!tooBusy && !tooIdle))
            continue;
        const double excess = std::min(plan.loads[donor.id] - shareOf(plan, donor), room);
        if (excess > 0 && relieve(plan, donor, excess))
            return true;
        stuck.insert(donor.id);
    }
    return false;
}

void joinNeighbours(std::vector<KeyPlacement>& placements)
{
    std::vector<KeyPlacement> joined;
    for (const KeyPlacement& placement : placements) {
        if (!joined.empty() && joined.back().holder == placement.holder)
            joined.back().span.last = placement.span.last;
        else
            joined.push_back(placement);
    }
    placements = std::move(joined);
}

} // namespace Internal

std::optional<std::vector<KeyPlacement>> planPlacement(const std::vector<KeyPlacement>& current,
    const std::vector<PlacementTarget>& servers, const KeyLoad& load)
{
    if (servers.empty())
        return std::nullopt;
    Internal::Plan plan;
    plan.placements = current;
    plan.servers = servers;
    plan.before = Internal::sumsBefore(load);
    plan.total = plan.before.back();
    for (const PlacementTarget& server : servers)
        plan.totalCapacity += server.capacity;
    if (current.empty())
        Internal::makeFirst(plan);
    Internal::countLoads(plan);
    Internal::dealOrphans(plan);
    const std::size_t mostMoves = std::max(Internal::fewMoves, servers.size() / Internal::upstreamsPerMove);
    std::set<Utils::UpstreamId> stuck;
    for (std::size_t moves = 0; moves < mostMoves; ++moves) {
        if (!Internal::moveOne(plan, stuck))
            break;
    }
    Internal::joinNeighbours(plan.placements);
    if (plan.placements == current)
        return std::nullopt;
    return plan.placements;
}

} // namespace Granting
