// A replica of a service that runs each request for a while and answers it, as the users' protocol
// has it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "fleetclock.h"
#include "loopback.h"

namespace comfrey::review {

class Record;

class Replica
{
public:
    Replica(boost::asio::io_context &loop, std::string id, std::string service, std::string zone,
            Record &record);

    const std::string &id() const { return m_id; }
    /// What it says of itself in the store.
    std::string entry(const std::string &state);
    /// It leaves: answers say so from now on.
    void leave() { m_isLeaving = true; }
    /// Its process ends, with the requests that it still runs.
    void end();
    /// A request with this body ends the process that begins to run it; `onCrash` follows.
    static constexpr const char *kCrashingBody = "crash";
    void onCrash(std::function<void()> handler) { m_onCrash = std::move(handler); }
    bool hasEnded() const { return m_hasEnded; }

    /// From the start of a crashing request's run to the end of the process.
    Duration crashTime = milliseconds(0);
    Duration workTime = milliseconds(60);

private:
    void onRequest(loopback::ServerConnection &connection,
                   const loopback::ServerConnection::Request &request);

    boost::asio::io_context &m_loop;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Record &m_record;
    loopback::ScriptedServer m_server;
    std::uint64_t m_startedAtMs;
    int m_sequence = 0;
    std::function<void()> m_onCrash;
    bool m_isLeaving = false;
    bool m_hasEnded = false;
};

} // namespace comfrey::review
