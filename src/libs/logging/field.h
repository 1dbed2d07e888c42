#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Logging {

/// One named value of a log line.
struct Field {
    using Value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

    Field(std::string_view name, std::string_view text)
        : name(name)
        , value(std::string(text))
    {
    }

    Field(std::string_view name, const char* text)
        : Field(name, std::string_view(text))
    {
    }

    template <std::signed_integral Number>
    Field(std::string_view name, Number number)
        : name(name)
        , value(static_cast<std::int64_t>(number))
    {
    }

    template <std::unsigned_integral Number>
    Field(std::string_view name, Number number)
        : name(name)
        , value(static_cast<std::uint64_t>(number))
    {
    }

    Field(std::string_view name, double number)
        : name(name)
        , value(number)
    {
    }

    Field(std::string_view name, bool flag)
        : name(name)
        , value(flag)
    {
    }

    std::string_view name;
    Value value;
};

} // namespace Logging
