#pragma once

#include <commands/vmstanding.h>
#include <logservice/vmentry.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Commands::Internal {

/// Asks every VM in \a entries for its status on \a adminPort, several at a time; in the order of \a entries.
std::vector<VmStanding> askVms(const std::vector<LogService::VmEntry>& entries, std::uint16_t adminPort);

/// The standing in the status \a text of a VM; one that did not answer when the text makes no sense.
VmStanding readStanding(const LogService::VmEntry& entry, std::string_view text);

} // namespace Commands::Internal
