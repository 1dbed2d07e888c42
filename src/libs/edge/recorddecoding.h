#pragma once

#include <edge/node.h>
#include <platform/decodeerror.h>
#include <platform/fieldname.h>
#include <platform/storerecord.h>

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <utility>

namespace Edge::Internal {

/// Logs and counts that \a record could not be used.
void recordDecodeError(
    Node& node, const Platform::StoreRecord& record, Platform::DecodeError error, const std::string& field);

/// Decodes the value of \a record. On failure, logs and counts the error and returns nothing.
template <typename Value, typename Decode>
std::optional<Value> decodeOrSkip(Node& node, const Platform::StoreRecord& record, Decode decode)
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<Value>(std::move(value));
        },
        [&](Platform::DecodeError error, const Platform::FieldName& field) -> std::optional<Value> {
            recordDecodeError(node, record, error, field.name);
            return std::nullopt;
        },
        [&](Platform::DecodeError error) -> std::optional<Value> {
            recordDecodeError(node, record, error, "");
            return std::nullopt;
        },
        [&]() -> std::optional<Value> {
            recordDecodeError(node, record, Platform::DecodeError::Unreadable, "");
            return std::nullopt;
        });
}

} // namespace Edge::Internal
