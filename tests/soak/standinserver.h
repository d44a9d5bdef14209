// A backend server for the soak: counts what it runs by request id, and fails as it is told.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "faultypath.h"
#include "loopback.h"

namespace comfrey::soak {

struct ServerFaults
{
    double resetAfterRun = 0; ///< Runs and resets without an answer.
    double cut = 0;           ///< Breaks off in the middle of the answer.
    double mute = 0;          ///< Runs and never answers.
    double extra = 0;         ///< Sends a second answer after the first one.
    double foreign = 0;       ///< Sends an answer to another request first.
    double shed = 0;          ///< Refuses without running.
    double failed = 0;        ///< Runs and answers 503, with its signature.
    double pause = 0;         ///< Refuses and wants nothing from that router for a while.
};

/// The server asked the router that sent the request for a pause.
struct AskedPause
{
    std::string requestId;
    TimePoint at;
};

class StandInServer
{
public:
    StandInServer(boost::asio::io_context &loop, std::string id, std::mt19937_64 &random);

    /// The way on which routers reach the server.
    FaultyPath &path() { return m_path; }

    const std::string &id() const { return m_id; }
    /// What the server says of itself, as the platform's list has it.
    std::string record(bool isDraining);
    ServerFaults faults;
    bool isDown = false;        ///< Resets every connection.
    bool isLeaving = false;     ///< Says so in all its answers.
    bool isListedReady = false; ///< The list does not tell that it leaves.
    static constexpr Duration kPause = milliseconds(1200);

    /// How long the work lasts on requests with this field, in milliseconds.
    static constexpr std::string_view kWorkField = "X-Work-Ms";
    /// The process ends when it begins to run a request whose path ends so.
    static constexpr std::string_view kEndingPath = "/once/end";
    void onEnd(std::function<void()> handler) { m_onEnd = std::move(handler); }
    bool hasEnded() const { return m_hasEnded; }
    /// When it first said that it leaves.
    TimePoint saidLeavingAt() const { return m_saidLeavingAt; }
    const std::vector<AskedPause> &pauses() const { return m_pauses; }
    /// When each request reached the server, run or not.
    const std::vector<std::pair<TimePoint, std::string>> &arrivals() const { return m_arrivals; }
    /// How often each request ran.
    const std::map<std::string, int> &runs() const { return m_runs; }
    /// When the last request came that the server ran.
    TimePoint lastRun() const { return m_lastRun; }
    /// True if a request that the server holds without an answer has lost its connection; false if
    /// it is still at work or never came here.
    bool isGivenUp(const std::string &requestId) const;
    bool holds(const std::string &requestId) const { return m_held.count(requestId) > 0; }
    /// Prompts that came otherwise than their callers sent them, a line each.
    const std::vector<std::string> &wrongPrompts() const { return m_wrongPrompts; }
    /// The prompt of a request of the soak, as its callers send it.
    static std::string promptOf(const std::string &requestId);
    /// The body of the answer to a request; a stream's pieces in a row.
    static std::string bodyOf(const std::string &requestId, bool isStream);

private:
    void onRequest(loopback::ServerConnection &connection,
                   const loopback::ServerConnection::Request &request);
    void end();
    bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    boost::asio::io_context &m_loop;
    std::string m_id;
    std::mt19937_64 &m_random;
    loopback::ScriptedServer m_server;
    FaultyPath m_path;
    std::map<std::string, int> m_runs;
    std::map<std::string, std::weak_ptr<loopback::ServerConnection>> m_held;
    std::vector<std::string> m_wrongPrompts;
    TimePoint m_lastRun = TimePoint::min();
    TimePoint m_saidLeavingAt = kNever;
    std::vector<AskedPause> m_pauses;
    std::vector<std::pair<TimePoint, std::string>> m_arrivals;
    std::function<void()> m_onEnd;
    bool m_hasEnded = false;
    int m_sequence = 0;
};

} // namespace comfrey::soak
