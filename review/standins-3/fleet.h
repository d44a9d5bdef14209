// What the cases of the third review share: routers as processes of their own, replicas that follow
// the users' pages, the platform's store, and requesters. All of it on loopback and the real clock.
#pragma once

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "faultypath.h"
#include "loopback.h"
#include "standinstore.h"

namespace comfrey::review {

/// Milliseconds since the start of the case.
std::int64_t elapsedMs();

/// Writes record.txt: what was sent, answered and run, and when.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) { }
    void line(const std::string &text);

private:
    std::ofstream m_file;
};

/// Settings of a router that the cases vary. The others are those of the page DEPLOY and of the
/// site kynd-ryhm.
struct RouterSettings
{
    std::string name;
    std::string zone;
    double processorShare = 0.25;
    bool isFirstStart = true;
};

/// A router's process, started with the command of deploy/system.toml. It ends with this object.
class Router
{
public:
    Router(boost::asio::io_context &loop, RouterSettings settings, std::string ip,
           std::vector<std::string> seeds, const std::string &store, std::string folder);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Writes the settings file and starts the program.
    void start();
    /// The process's way to the store is silent in both directions, or sound again.
    void cutFromStore(bool isCut);
    void signal(int number);
    /// True if the process has ended.
    bool hasEnded();
    /// Of the last end: the exit code, or minus the signal.
    int lastEnd() const { return m_lastEnd; }

    RouterSettings settings;
    const std::string &ip() const { return m_ip; }
    boost::asio::ip::tcp::endpoint front() const { return endpoint(8227); }
    boost::asio::ip::tcp::endpoint ready() const { return endpoint(8220); }
    /// What the process has written so far.
    std::string log() const;

private:
    boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;

    std::string m_ip;
    std::vector<std::string> m_seeds;
    soak::FaultyPath m_storePath;
    std::string m_folder;
    pid_t m_pid = 0; ///< 0 while it does not run.
    int m_lastEnd = 0;
};

/// A replica: answers with its signature, and writes its entry to the store as the pages say.
class Replica
{
public:
    using Connection = loopback::ServerConnection;
    using Request = loopback::ServerConnection::Request;
    struct Arrival
    {
        std::int64_t atMs;
        std::string requestId;
        std::string tenant;
        std::string lastEventId;
    };

    Replica(boost::asio::io_context &loop, soak::StandInStore &store, Record &record,
            std::string id, std::string service, std::string zone);

    /// Writes the entry now, and again each heartbeat.
    void announce();
    /// The entry says from now on that the replica leaves. It goes on serving.
    void drain();
    /// The process ends: its port is closed and its channels are reset.
    void crash();

    const std::string &id() const { return m_id; }
    bool isCrashed() const { return m_isCrashed; }
    /// Requests that it took, in their order; not those that it answered with 421.
    const std::vector<Arrival> &arrivals() const { return m_arrivals; }
    /// Replaces the plain answer.
    std::function<void(Connection &, const Request &)> onRequest;

private:
    void beat();

    soak::StandInStore &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    loopback::ScriptedServer m_server;
    boost::asio::steady_timer m_timer;
    std::vector<Arrival> m_arrivals;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bornMs = 0;
    bool m_isDraining = false;
    bool m_isCrashed = false;
};

/// The bytes of a request as requesters send it.
std::string requestBytes(const std::string &method, const std::string &path, const std::string &id,
                         const std::string &key, int deadlineMs,
                         const std::string &fields = std::string());

/// The machines of site kynd-ryhm before one store: six routers in four zones.
class Fleet
{
public:
    explicit Fleet(const std::string &recordPath);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    Replica &addReplica(const std::string &id, const std::string &service, const std::string &zone);
    /// Puts `json` to op/config; the store's answer is the ack.
    void publish(const std::string &json);
    /// Starts all routers and waits until they say that they are ready. False if one doesn't.
    bool startRouters();
    bool isReady(Router &router);
    /// Waits until all are ready, at most `limit`.
    bool awaitReady(Duration limit);
    void runFor(Duration time) { loopback::runFor(loop, time); }
    bool runUntil(const std::function<bool()> &done, Duration limit);
    /// Sends one request on a new channel and waits for its answer. Status 0: none came.
    unsigned ask(Router &router, const std::string &path, const std::string &key,
                 const std::string &what);
    /// An id that no request had.
    std::string newId();
    /// The router whose log says that it reads the store.
    Router *storeReader();

    boost::asio::io_context loop;
    Record record;
    soak::StandInStore store;
    std::list<std::unique_ptr<Router>> routers;
    std::list<std::unique_ptr<Replica>> replicas;

private:
    void tickStore();

    std::string m_folder;
    boost::asio::steady_timer m_storeTimer;
    int m_lastId = 0;
};

} // namespace comfrey::review
