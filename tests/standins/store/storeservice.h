#pragma once

#include <standins/store/storedoor.h>
#include <standins/store/storedtopic.h>
#include <standins/store/storefaults.h>
#include <standins/store/waitingread.h>
#include <standins/support/httphandler.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

/// A stand-in for the users' store, in as much of its protocol as the product speaks.
namespace StandInStore {

struct StoreService {
    explicit StoreService(boost::asio::io_context& context)
        : context(context)
    {
    }

    boost::asio::io_context& context;
    StoreFaults faults;
    std::map<std::string, StoredTopic> topics;
    std::map<std::uint64_t, WaitingRead> waiting;
    std::uint64_t lastWaiting = 0;
    /// Calls by path.
    std::map<std::string, unsigned> calls;
};

StandInSupport::HttpHandler handlerOf(StoreService& store);

/// The same for callers that come through \a door.
StandInSupport::HttpHandler handlerOf(StoreService& store, StoreDoor& door);

/// Adds a record as the operator or a server would; without \a value the key is dropped.
void putRecord(
    StoreService& store, const std::string& topic, const std::string& key, const std::string& value);

/// Drops the history of \a topic for reads; the newest of each key stays.
void compact(StoreService& store, const std::string& topic);

} // namespace StandInStore
