#pragma once

#include <metrics/counterfamily.h>
#include <metrics/latencyhistogram.h>
#include <utils/enumtable.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// The text format that monitoring systems scrape.
namespace Metrics {

/// Appends the help and type lines of a metric.
void writeHeading(std::string& text, std::string_view name, std::string_view type, std::string_view help);

/// Appends one sample; \a label may be empty.
void writeSample(std::string& text, std::string_view name, std::string_view label,
    std::string_view labelValue, double value);

/// Appends a histogram's samples, labelled.
void writeHistogram(std::string& text, std::string_view name, std::string_view label,
    std::string_view labelValue, const LatencyHistogram& histogram);

/// Appends a whole family of counters, one sample for each row of \a table.
template <typename Enum, std::size_t Size>
void writeFamily(std::string& text, std::string_view name, std::string_view help, std::string_view label,
    const std::array<Utils::EnumName<Enum>, Size>& table, const CounterFamily<Enum, Size>& family)
{
    writeHeading(text, name, "counter", help);
    for (const Utils::EnumName<Enum>& row : table)
        writeSample(text, name, label, row.name, static_cast<double>(family.count(row.value)));
}

} // namespace Metrics
