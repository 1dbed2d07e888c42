#include <standins/caller/connectionpool.h>

namespace StandInCaller {

namespace Internal {

void closeConnection(ConnectionPool& pool, ConnectionId id)
{
    Connection& connection = pool.connections.at(id);
    --pool.entries[connection.entry.value].open;
    connection.stream.close();
    pool.connections.erase(id);
}

} // namespace Internal

std::optional<ConnectionId> takeConnection(
    ConnectionPool& pool, boost::asio::io_context& context, EntryNumber number)
{
    Entry& entry = pool.entries[number.value];
    while (!entry.idle.empty()) {
        const ConnectionId id = entry.idle.back();
        entry.idle.pop_back();
        if (!isClosed(pool.connections.at(id)))
            return id;
        Internal::closeConnection(pool, id);
    }
    if (entry.open >= pool.limit)
        return std::nullopt;
    ++entry.open;
    pool.last.value += 1;
    pool.connections.try_emplace(pool.last, context, number);
    return pool.last;
}

void giveBack(ConnectionPool& pool, ConnectionId id, bool reusable)
{
    if (!reusable) {
        Internal::closeConnection(pool, id);
        return;
    }
    const EntryNumber entry = pool.connections.at(id).entry;
    pool.entries[entry.value].idle.push_back(id);
}

} // namespace StandInCaller
