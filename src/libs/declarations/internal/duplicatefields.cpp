#include <declarations/internal/duplicatefields.h>

#include <declarations/internal/fieldreader.h>

#include <boost/json/basic_parser_impl.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>

namespace Declarations::Internal {

namespace {

/// One open object or list, and which step of it is being read.
struct OpenContainer {
    bool isArray = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
};

/// Follows the parser's events and remembers the keys of every open object.
struct DuplicateFieldHandler {
    using error_code = boost::json::error_code;
    using string_view = boost::json::string_view;

    // The names that boost::json::basic_parser asks for.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();
    // NOLINTEND(readability-identifier-naming)

    std::vector<OpenContainer> open;
    std::string partialKey;
    std::vector<std::string> duplicates;

    bool beginValue()
    {
        if (!this->open.empty() && this->open.back().isArray)
            this->open.back().index += 1;
        return true;
    }

    std::string pointer() const
    {
        std::string place;
        for (const OpenContainer& container : this->open)
            place = pointerTo(place, container.isArray ? std::to_string(container.index - 1) : container.key);
        return place;
    }

    bool endKey(std::string_view rest)
    {
        this->partialKey += rest;
        OpenContainer& container = this->open.back();
        container.key = this->partialKey;
        this->partialKey.clear();
        if (!container.keys.insert(container.key).second)
            this->duplicates.push_back(this->pointer());
        return true;
    }

    bool beginContainer(bool isArray)
    {
        this->beginValue();
        this->open.push_back({ isArray, 0, {}, {} });
        return true;
    }

    bool endContainer()
    {
        this->open.pop_back();
        return true;
    }

    // NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(error_code&) { return true; }
    bool on_document_end(error_code&) { return true; }
    bool on_object_begin(error_code&) { return this->beginContainer(false); }
    bool on_object_end(std::size_t, error_code&) { return this->endContainer(); }
    bool on_array_begin(error_code&) { return this->beginContainer(true); }
    bool on_array_end(std::size_t, error_code&) { return this->endContainer(); }
    bool on_key_part(string_view part, std::size_t, error_code&)
    {
        this->partialKey += std::string_view(part.data(), part.size());
        return true;
    }
    bool on_key(string_view part, std::size_t, error_code&)
    {
        return this->endKey(std::string_view(part.data(), part.size()));
    }
    bool on_string_part(string_view, std::size_t, error_code&) { return true; }
    bool on_string(string_view, std::size_t, error_code&) { return this->beginValue(); }
    bool on_number_part(string_view, error_code&) { return true; }
    bool on_int64(std::int64_t, string_view, error_code&) { return this->beginValue(); }
    bool on_uint64(std::uint64_t, string_view, error_code&) { return this->beginValue(); }
    bool on_double(double, string_view, error_code&) { return this->beginValue(); }
    bool on_bool(bool, error_code&) { return this->beginValue(); }
    bool on_null(error_code&) { return this->beginValue(); }
    bool on_comment_part(string_view, error_code&) { return true; }
    bool on_comment(string_view, error_code&) { return true; }
    // NOLINTEND(readability-identifier-naming)
};

} // namespace

std::vector<std::string> findDuplicateFields(std::string_view text)
{
    boost::json::basic_parser<DuplicateFieldHandler> parser { boost::json::parse_options {} };
    boost::json::error_code error;
    parser.write_some(false, text.data(), text.size(), error);
    return parser.handler().duplicates;
}

} // namespace Declarations::Internal
