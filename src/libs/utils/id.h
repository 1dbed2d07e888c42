#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Utils {

/// A name or number that identifies one kind of object; ids of different kinds do not mix.
/// \tparam Tag an empty type that names the kind.
/// \tparam Value the representation, ordered and hashable.
template <typename Tag, typename Value = std::string> struct Id {
    using ValueType = Value;

    Value value {};

    auto operator<=>(const Id&) const = default;
};

/// Prints the bare value; used by tests and logs.
template <typename Tag, typename Value>
std::ostream& operator<<(std::ostream& stream, const Id<Tag, Value>& id)
{
    return stream << id.value;
}

} // namespace Utils

template <typename Tag, typename Value> struct std::hash<Utils::Id<Tag, Value>> {
    size_t operator()(const Utils::Id<Tag, Value>& id) const noexcept { return std::hash<Value>()(id.value); }
};
