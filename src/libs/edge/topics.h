#pragma once

#include <string_view>

/// Topics of the store that the VMs write.
namespace Edge {

/// Leader records. Without keys, since only the newest record matters and each append is conditional.
inline constexpr std::string_view leaderTopic = "crocusferry.leader";
/// Key assignments, keyed by service.
inline constexpr std::string_view assignmentTopic = "keyed.crocusferry";
/// Quarantined requests, keyed by the fingerprint of their content.
inline constexpr std::string_view quarantineTopic = "keyed.crocusferry.quarantine";

} // namespace Edge
