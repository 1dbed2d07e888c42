#pragma once

#include <declarations/configuration.h>
#include <declarations/internal/fieldreader.h>
#include <declarations/origin.h>

/// Readers of one object each: they put it into the configuration under the name of the reader's ref.
namespace Declarations::Internal {

void parseRegion(FieldReader& reader, Configuration& configuration);
void parseAvailabilityZone(FieldReader& reader, Configuration& configuration);
void parseRegionLink(FieldReader& reader, Configuration& configuration);
void parseRank(FieldReader& reader, Configuration& configuration);
void parsePolicy(FieldReader& reader, Configuration& configuration);
/// \param origins gets an entry for each upstream of the pool.
void parseUpstreamPool(FieldReader& reader, Configuration& configuration, Origins& origins);
void parseService(FieldReader& reader, Configuration& configuration);
void parseKeyRange(FieldReader& reader, Configuration& configuration);

/// Reads the name in \a field into the reader's ref, and reports when it can't name an object.
/// \return whether there is a name, be it a bad one.
bool readObjectName(FieldReader& reader);

} // namespace Declarations::Internal
