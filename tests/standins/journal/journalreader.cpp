#include <standins/journal/journalreader.h>

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <fstream>
#include <optional>
#include <utility>
#include <vector>

namespace Journal {

namespace Leaf = boost::leaf;

namespace Internal {

template <typename Row>
Leaf::result<void> readRows(std::vector<Row>& rows, const std::string& path,
    std::optional<Row> (*rowFrom)(const boost::json::object& object))
{
    std::ifstream file(path);
    JournalPlace place { path, 0 };
    if (!file)
        return Leaf::new_error(JournalError::Unreadable, place);
    std::string text;
    while (std::getline(file, text)) {
        ++place.line;
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object())
            return Leaf::new_error(JournalError::BadLine, place);
        std::optional<Row> row = rowFrom(value.get_object());
        if (!row)
            return Leaf::new_error(JournalError::BadLine, place);
        rows.push_back(std::move(*row));
    }
    return {};
}

} // namespace Internal

Leaf::result<void> readCallerJournal(JournalSet& set, const std::string& path)
{
    return Internal::readRows<CallerRow>(set.callers, path, callerRowFrom);
}

Leaf::result<void> readUpstreamJournal(JournalSet& set, const std::string& path)
{
    return Internal::readRows<UpstreamRow>(set.upstreams, path, upstreamRowFrom);
}

} // namespace Journal
