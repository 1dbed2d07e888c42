#pragma once

#include <agreement/configurationparser.h>
#include <agreement/logrecord.h>
#include <agreement/recordvariant.h>

#include <string>
#include <string_view>
#include <vector>

/// Builders of small records; configurations are written as "pool:upstream,upstream-;pool:..." where a "-"
/// marks a leaving upstream and each pool has one key range of two shards.
namespace AgreementFixture {

/// Reads the short form; nothing for "bad".
std::optional<Declarations::Configuration> parseShort(std::string_view text);

Agreement::RecordHeader operatorHeader(const std::string& name, std::uint64_t sequence);
Agreement::RecordHeader vmHeader(const std::string& name, std::uint64_t sequence);

Agreement::ConfigurationRecord configuration(
    const Agreement::RecordHeader& header, Utils::Offset base, const std::string& text);

/// Pool \a pool with dispatcher \a dispatcher, successor "vm-z", owner "a" and standby "b".
Agreement::AssignmentRecord assignment(const Agreement::RecordHeader& header, const std::string& pool,
    Utils::Offset basedOn, const std::string& dispatcher);

Agreement::SettledRecord settled(const Agreement::RecordHeader& header, const std::string& pool,
    Utils::Offset token, const std::string& dispatcher);

/// \a records as the log gives them out, from offset \a from.
std::vector<Agreement::LogRecord> logOf(
    const std::vector<Agreement::RecordVariant>& records, Utils::Offset from = 1);

} // namespace AgreementFixture
