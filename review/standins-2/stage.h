// What the scripts of the second review share: small HTTP stand-ins on loopback, each channel with
// a thread of its own, the platform's store, and the routers as processes of the deploy file.
#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace stage {

/// Milliseconds since the program began.
long nowMs();
void sleepMs(long duration);
/// A loopback address that other runs don't use at the same time.
std::string ipOf(int index);

/// The lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::string m_path;
    std::mutex m_mutex;
};

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const;
    std::string path() const;
    int status() const;
};

/// One TCP channel, read and written in turn.
class Channel
{
public:
    explicit Channel(int socket) : m_socket(socket) { }
    Channel(Channel &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1)), m_read(std::move(other.m_read))
    { }
    Channel &operator=(Channel &&other) noexcept;
    ~Channel();

    /// Connects within two seconds; the channel isn't open if that fails.
    static Channel connect(const std::string &address, const std::string &from = {});
    bool isOpen() const { return m_socket >= 0; }
    std::uint16_t ownPort() const;
    bool write(std::string_view bytes);
    /// A whole message; false if the channel ended or `limitMs` passed first. `toEnd` permits an
    /// answer without a length.
    bool read(Message &message, long limitMs, bool toEnd = false);
    /// As above, in two steps.
    bool readHead(Message &message, long limitMs);
    bool readBody(Message &message, long limitMs, bool toEnd = false);
    /// True if the other side has closed it.
    bool isEnded();
    void close();
    void reset();

private:
    bool fill(long untilMs);

    int m_socket = -1;
    std::string m_read;
};

/// Listens at a free port of `ip`, or at the port given with it.
class Server
{
public:
    using Handler = std::function<void(Channel &)>;

    Server(const std::string &ip, Handler handler);
    /// Takes no new channels; those that are open go on.
    void end();
    const std::string &address() const { return m_address; }

private:
    int m_socket = -1;
    std::string m_address;
};

/// The platform's store: log-read, log-newest and log-append of keyed topics, as PROTOCOL.md says.
class Store
{
public:
    explicit Store(const std::string &ip);
    const std::string &address() const { return m_server.address(); }
    /// Without a value the key is dropped.
    void append(const std::string &topic, const std::string &key, const std::string &value);
    std::map<std::string, int> calls();

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    struct Topic
    {
        std::vector<Entry> log;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    };

    void serve(Channel &channel);
    std::string readAnswer(const std::string &topic, std::uint64_t from, long waitMs);
    std::string newestAnswer(const std::string &topic, const std::string &after);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, int> m_calls;
    Server m_server;
};

std::string answer(int status, const std::string &fields, const std::string &body);

/// A router of deploy/system.toml, with the settings of a small deployment.
class Router
{
public:
    Router(int index, int routers, const std::string &folder, const std::string &store,
           int memoryMb);
    ~Router();
    void start(bool bootstrap);
    void signal(int number);
    /// True if the process has ended, once for each end.
    bool hasEnded();
    int lastEnd() const { return m_lastEnd; }
    bool isRunning() const { return m_pid > 0; }
    bool isReady() const;
    long memoryMb() const;
    std::string front() const { return m_ip + ":8227"; }
    const std::string &name() const { return m_name; }

private:
    int m_routers;
    std::string m_ip;
    std::string m_name;
    std::string m_folder;
    std::string m_store;
    int m_memoryMb;
    pid_t m_pid = 0;
    int m_lastEnd = 0;
};

/// True unless TROUBLE is 0.
bool hasTrouble();
/// This process, and with it its routers, ends when the shell that started it does.
void endWithParent();

} // namespace stage
