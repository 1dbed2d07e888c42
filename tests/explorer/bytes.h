#pragma once

#include <agreement/poolassignment.h>
#include <ownership/fencerequest.h>
#include <ownership/granterstate.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>
#include <ownership/holderstate.h>
#include <ownership/peermessage.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

/// Serialises values so that equal values give equal bytes and states can be compared by a digest.
namespace Explorer {

using Bytes = std::string;

template <typename Number>
requires std::is_arithmetic_v<Number> || std::is_enum_v<Number>
void put(Bytes& out, Number value)
{
    const std::uint64_t wide = static_cast<std::uint64_t>(value);
    out.append(reinterpret_cast<const char*>(&wide), sizeof wide);
}

template <typename Tag> void put(Bytes& out, const Utils::Id<Tag>& id)
{
    out += id.value;
    out += '\0';
}

inline void put(Bytes& out, Utils::Instant instant) { put(out, instant.time_since_epoch().count()); }

inline void put(Bytes& out, Utils::Duration duration) { put(out, duration.count()); }

void put(Bytes& out, const Agreement::VmStart& start);
void put(Bytes& out, const Agreement::ShardAssignment& pair);
void put(Bytes& out, const Agreement::FormerAssignment& former);
void put(Bytes& out, const Agreement::PoolAssignment& assignment);
void put(Bytes& out, const Ownership::GrantLevel& level);
void put(Bytes& out, const Ownership::SentGrant& grant);
void put(Bytes& out, const Ownership::UpstreamView& view);
void put(Bytes& out, const Ownership::PeerView& view);
void put(Bytes& out, const Ownership::ShardView& view);
void put(Bytes& out, const Ownership::PendingQuery& query);
void put(Bytes& out, const Ownership::GranterState& state);
void put(Bytes& out, const Ownership::HolderState& state);
void put(Bytes& out, const Ownership::HolderResponse& response);
void put(Bytes& out, const Ownership::GrantRequest& request);
void put(Bytes& out, const Ownership::FenceRequest& request);
void put(Bytes& out, const Ownership::AttestRequest& message);
void put(Bytes& out, const Ownership::AttestResponse& message);
void put(Bytes& out, const Ownership::StopRequest& message);
void put(Bytes& out, const Ownership::StopResponse& message);

template <typename Item> void put(Bytes& out, const std::optional<Item>& item);
template <typename Item> void put(Bytes& out, const std::vector<Item>& items);
template <typename Item> void put(Bytes& out, const std::set<Item>& items);
template <typename Key, typename Item> void put(Bytes& out, const std::map<Key, Item>& items);
template <typename... Items> void put(Bytes& out, const std::variant<Items...>& item);

template <typename Item> void put(Bytes& out, const std::optional<Item>& item)
{
    put(out, item.has_value());
    if (item.has_value())
        put(out, *item);
}

template <typename Item> void put(Bytes& out, const std::vector<Item>& items)
{
    put(out, items.size());
    for (const Item& item : items)
        put(out, item);
}

template <typename Item> void put(Bytes& out, const std::set<Item>& items)
{
    put(out, items.size());
    for (const Item& item : items)
        put(out, item);
}

template <typename Key, typename Item> void put(Bytes& out, const std::map<Key, Item>& items)
{
    put(out, items.size());
    for (const std::pair<const Key, Item>& item : items) {
        put(out, item.first);
        put(out, item.second);
    }
}

template <typename... Items> void put(Bytes& out, const std::variant<Items...>& item)
{
    put(out, item.index());
    std::visit([&out](const auto& held) { put(out, held); }, item);
}

} // namespace Explorer
