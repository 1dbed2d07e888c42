#include <declarations/internal/objectparsers.h>

#include <declarations/declarationsconstants.h>
#include <declarations/internal/fieldvalues.h>

#include <string>
#include <utility>

namespace Declarations::Internal {

namespace {

void readRankShares(FieldReader& reader, RegionLink& link)
{
    for (const boost::json::key_value_pair& field : reader.fields) {
        const std::string rank(field.key());
        reader.known.insert(rank);
        double share = 0;
        if (shareOf(reader, rank, field.value(), 1, share))
            link.rankShares[Utils::RankId { rank }] = share;
    }
}

} // namespace

bool readObjectName(FieldReader& reader)
{
    const std::size_t before = reader.faults.size();
    readText(reader, "name", Need::Required, reader.ref.name);
    if (reader.faults.size() != before)
        return false;
    if (!isName(reader.ref.name)) {
        report(reader, FaultCode::BadName, "name",
            "must be 1 to " + std::to_string(maxNameBytes)
                + " lower-case letters, digits, '-', '_' or '.', and start with a letter or a digit");
    }
    return true;
}

void parseRegion(FieldReader& reader, Configuration& configuration)
{
    const Utils::RegionId id { reader.ref.name };
    configuration.regions[id] = Region { id };
}

void parseAvailabilityZone(FieldReader& reader, Configuration& configuration)
{
    AvailabilityZone zone { Utils::ZoneId { reader.ref.name }, {} };
    readReference(reader, "region", zone.region);
    configuration.zones[zone.id] = zone;
}

void parseRegionLink(FieldReader& reader, Configuration& configuration)
{
    RegionLink link;
    readReference(reader, "first", link.first);
    readReference(reader, "second", link.second);
    if (link.second < link.first)
        std::swap(link.first, link.second);
    readInteger(reader, "bits_per_second", Need::Required, { 1, maxLinkBitsPerSecond }, link.bitsPerSecond);
    readInner(reader, "rank_shares", [&link](FieldReader& inner) { readRankShares(inner, link); });
    configuration.links.push_back(std::move(link));
}

} // namespace Declarations::Internal
