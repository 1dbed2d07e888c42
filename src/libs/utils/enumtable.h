#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Utils {

/// One row of a table of names: an enumerator and the word that settings, logs and metrics use for it.
template <typename Enum> struct EnumName {
    Enum value;
    std::string_view name;
};

/// The name of \a value in \a table, or "?" for a value outside it.
template <typename Enum, std::size_t Size>
constexpr std::string_view enumName(const std::array<EnumName<Enum>, Size>& table, Enum value)
{
    for (const EnumName<Enum>& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/// The enumerator called \a name in \a table, if there is one.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumFromName(
    const std::array<EnumName<Enum>, Size>& table, std::string_view name)
{
    for (const EnumName<Enum>& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace Utils
