#include <metrics/exposition.h>

#include <charconv>

namespace Metrics {

namespace Internal {

void appendNumber(std::string& text, double value)
{
    std::array<char, 32> buffer {};
    const std::to_chars_result end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    text.append(buffer.data(), end.ptr);
}

void appendLabelValue(std::string& text, std::string_view value)
{
    for (const char character : value) {
        if (character == '\\' || character == '"')
            text += '\\';
        if (character == '\n')
            text += "\\n";
        else
            text += character;
    }
}

void appendLabel(std::string& text, std::string_view label, std::string_view value)
{
    text += label;
    text += "=\"";
    appendLabelValue(text, value);
    text += '"';
}

std::string suffixed(std::string_view name, std::string_view suffix)
{
    return std::string(name).append(suffix);
}

} // namespace Internal

void writeHeading(std::string& text, std::string_view name, std::string_view type, std::string_view help)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void writeSample(std::string& text, std::string_view name, std::string_view label,
    std::string_view labelValue, double value)
{
    text += name;
    if (!label.empty()) {
        text += '{';
        Internal::appendLabel(text, label, labelValue);
        text += '}';
    }
    text += ' ';
    Internal::appendNumber(text, value);
    text += '\n';
}

void writeHistogram(std::string& text, std::string_view name, std::string_view label,
    std::string_view labelValue, const LatencyHistogram& histogram)
{
    for (const LatencyHistogram::Bucket& bucket : histogram.buckets()) {
        text.append(name).append("_bucket{");
        Internal::appendLabel(text, label, labelValue);
        text += ",le=\"";
        Internal::appendNumber(text, bucket.upperSeconds);
        text += "\"} ";
        Internal::appendNumber(text, static_cast<double>(bucket.cumulative));
        text += '\n';
    }
    const double count = static_cast<double>(histogram.count());
    text.append(name).append("_bucket{");
    Internal::appendLabel(text, label, labelValue);
    text += ",le=\"+Inf\"} ";
    Internal::appendNumber(text, count);
    text += '\n';
    writeSample(text, Internal::suffixed(name, "_sum"), label, labelValue, histogram.sumSeconds());
    writeSample(text, Internal::suffixed(name, "_count"), label, labelValue, count);
}

} // namespace Metrics
