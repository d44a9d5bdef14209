// The platform's store for the soak: keyed topics that the soak and the routers write, read over
// HTTP with the faults that the soak sets.
#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "loopback.h"

namespace comfrey::soak {

enum class StoreFault : std::uint8_t { None, Silent, Busy, Reset };

class StandInStore
{
public:
    explicit StandInStore(boost::asio::io_context &loop);

    std::string address() const { return m_server.address(); }
    /// Without a value the key is removed.
    void append(const std::string &topic, const std::string &key, const std::string &value);
    /// Drops the history of all topics; the newest records stay.
    void compact();
    void setFault(StoreFault fault) { m_fault = fault; }
    StoreFault fault() const { return m_fault; }
    /// Ends reads that were held long enough.
    void tick(TimePoint now);
    std::size_t callCount() const { return m_calls; }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Topic
    {
        std::uint64_t firstKept = 0;
        std::vector<Record> history;                                         ///< From firstKept on.
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest; ///< Value and offset.
        std::uint64_t end() const { return firstKept + history.size(); }
    };

    struct Held
    {
        std::weak_ptr<loopback::ServerConnection> connection;
        std::string topic;
        std::uint64_t from = 0;
        TimePoint until;
    };

    void onRequest(loopback::ServerConnection &connection,
                   const loopback::ServerConnection::Request &request);
    /// `body` holds the records of a log-append.
    void appendRecords(const std::string &topic, std::string_view body);
    void answerRead(loopback::ServerConnection &connection, const Topic &topic, std::uint64_t from);
    void answerNewest(loopback::ServerConnection &connection, const Topic &topic);

    loopback::ScriptedServer m_server;
    std::map<std::string, Topic> m_topics;
    std::list<Held> m_held;
    StoreFault m_fault = StoreFault::None;
    std::size_t m_calls = 0;
};

} // namespace comfrey::soak
