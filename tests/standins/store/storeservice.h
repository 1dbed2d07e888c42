#pragma once

#include <standins/store/storedoor.h>
#include <standins/store/storedtopic.h>
#include <standins/store/storefaults.h>
#include <standins/store/waitingread.h>
#include <standins/support/httphandler.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <chrono>
#include <map>
#include <optional>
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
    /// Sent with all answers if it is set.
    std::optional<std::uint64_t> era;
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

/// Returns to a copy that is \a age old and begins the next era: later records are gone, and those of the
/// operator and the servers are written again. Returns how many records of others are gone.
std::size_t returnToCopy(StoreService& store, std::chrono::milliseconds age);

/// Drops the history of \a topic for reads; the newest of each key stays.
void compact(StoreService& store, const std::string& topic);

} // namespace StandInStore
