#pragma once

#include <standins/caller/callerids.h>
#include <standins/caller/connection.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace StandInCaller {

/// One entry VM as the pool sees it.
struct Entry {
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<ConnectionId> idle;
    std::size_t open = 0;
    /// Requests that wait for a connection, oldest first.
    std::deque<RequestNumber> waiting;
};

/// Connections to the entry VMs, a bounded number to each.
struct ConnectionPool {
    std::vector<Entry> entries;
    /// Most connections to one entry VM.
    std::size_t limit = 1;
    std::map<ConnectionId, Connection> connections;
    ConnectionId last;
};

/// A connection to \a entry that is free, or a new one within the limit.
std::optional<ConnectionId> takeConnection(
    ConnectionPool& pool, boost::asio::io_context& context, EntryNumber entry);

/// Gives a connection back; one that can't be reused is closed.
void giveBack(ConnectionPool& pool, ConnectionId id, bool reusable);

} // namespace StandInCaller
