#pragma once

#include <boost/json.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace StandInSupport {

/// One row of a stand-in's table of faults: the name in JSON and where its value is kept.
template <typename Faults> struct FaultField {
    std::string_view name;
    std::uint64_t Faults::*value;
};

/// Sets the faults that \a text, a JSON object of numbers and booleans, names; false and no change if it
/// names others.
template <typename Faults, std::size_t Size>
bool setFaults(Faults& faults, const std::array<FaultField<Faults>, Size>& table, const std::string& text)
{
    boost::json::error_code failure;
    const boost::json::value value = boost::json::parse(text, failure);
    if (failure || !value.is_object())
        return false;
    Faults changed = faults;
    std::size_t known = 0;
    for (const FaultField<Faults>& field : table) {
        const boost::json::value* const found = value.get_object().if_contains(field.name);
        if (!found)
            continue;
        if (found->is_bool())
            changed.*field.value = found->get_bool() ? 1 : 0;
        else if (found->is_int64() && found->get_int64() >= 0)
            changed.*field.value = static_cast<std::uint64_t>(found->get_int64());
        else
            return false;
        ++known;
    }
    if (known != value.get_object().size())
        return false;
    faults = changed;
    return true;
}

/// The faults as a JSON object.
template <typename Faults, std::size_t Size>
std::string showFaults(const Faults& faults, const std::array<FaultField<Faults>, Size>& table)
{
    boost::json::object object;
    for (const FaultField<Faults>& field : table)
        object[field.name] = faults.*field.value;
    return boost::json::serialize(object);
}

/// Counts down a fault that is set for a number of requests; whether it is due now.
inline bool takeOne(std::uint64_t& count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

} // namespace StandInSupport
