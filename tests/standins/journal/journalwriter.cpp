#include <standins/journal/journalwriter.h>

#include <boost/json/serialize.hpp>

namespace Journal {

JournalWriter openJournal(const std::string& path)
{
    JournalWriter journal;
    if (!path.empty())
        journal.stream.open(path, std::ios::app);
    return journal;
}

void append(JournalWriter& journal, const boost::json::object& row)
{
    if (!journal.stream.is_open())
        return;
    const std::string line = boost::json::serialize(row) + "\n";
    journal.stream.write(line.data(), static_cast<std::streamsize>(line.size()));
    journal.stream.flush();
}

} // namespace Journal
