// HTTP over blocking sockets, the store, and processes.
#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace stage {

namespace {

constexpr std::size_t kMostItems = 500;
constexpr std::size_t kMostPageBytes = 1 << 20;

sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    if (colon != std::string::npos)
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(number >> shift);
    return out;
}

std::string base64(const std::string &text)
{
    static const char letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t index = 0; index < 3; ++index)
            bits = bits << 8
                | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0);
        for (std::size_t index = 0; index < 4; ++index)
            out += at + index <= text.size() ? letters[bits >> (18 - 6 * index) & 63] : '=';
    }
    return out;
}

std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

/// The value of a query's parameter.
std::string parameter(const std::string &target, const std::string &name)
{
    std::string query = target.substr(std::min(target.size(), target.find('?') + 1));
    while (!query.empty()) {
        const std::string pair = query.substr(0, query.find('&'));
        query.erase(0, pair.size() + 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0)
            return percentDecoded(pair.substr(name.size() + 1));
    }
    return {};
}

} // namespace

long nowMs()
{
    static const auto begun = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - begun)
        .count();
}

void sleepMs(long duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

std::string ipOf(int index)
{
    constexpr int networks = 200;
    static const int run = ::getpid();
    return "127." + std::to_string(1 + run % networks) + '.'
        + std::to_string(1 + run / networks % networks) + '.' + std::to_string(index + 1);
}

Record::Record(const std::string &path) : m_path(path)
{
    std::ofstream(m_path, std::ios::trunc);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::ofstream(m_path, std::ios::app) << nowMs() << " ms: " << text << '\n';
}

std::string Message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

std::string Message::path() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int Message::status() const
{
    return std::atoi(startLine.substr(std::min(startLine.size(), startLine.find(' '))).c_str());
}

Channel &Channel::operator=(Channel &&other) noexcept
{
    close();
    m_socket = std::exchange(other.m_socket, -1);
    m_read = std::move(other.m_read);
    return *this;
}

Channel::~Channel()
{
    close();
}

std::uint16_t Channel::ownPort() const
{
    sockaddr_in own{};
    socklen_t size = sizeof own;
    ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&own), &size);
    return ntohs(own.sin_port);
}

Channel Channel::connect(const std::string &address, const std::string &from)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Channel channel(handle);
    if (!from.empty()) {
        const sockaddr_in own = socketAddress(from);
        if (::bind(handle, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0) {
            channel.close();
            return channel;
        }
    }
    const timeval limit{2, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = socketAddress(address);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0)
        channel.close();
    return channel;
}

bool Channel::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Channel::fill(long untilMs)
{
    pollfd event{m_socket, POLLIN, 0};
    const long left = std::max(0L, untilMs - nowMs());
    if (m_socket < 0 || ::poll(&event, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[65536];
    const ssize_t count = ::recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_read.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Channel::read(Message &message, long limitMs, bool toEnd)
{
    const long until = nowMs() + limitMs;
    return readHead(message, limitMs) && readBody(message, until - nowMs(), toEnd);
}

bool Channel::readHead(Message &message, long limitMs)
{
    const long until = nowMs() + limitMs;
    std::size_t end = std::string::npos;
    while ((end = m_read.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return false;
    }
    message = {};
    std::string head = m_read.substr(0, end + 2);
    m_read.erase(0, end + 4);
    while (!head.empty()) {
        const std::string line = head.substr(0, head.find("\r\n"));
        head.erase(0, line.size() + 2);
        const std::size_t colon = line.find(':');
        if (message.startLine.empty())
            message.startLine = line;
        else if (colon != std::string::npos)
            message.fields.emplace_back(
                line.substr(0, colon),
                line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1))));
    }
    return true;
}

bool Channel::readBody(Message &message, long limitMs, bool toEnd)
{
    const long until = nowMs() + limitMs;
    if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = m_read.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const auto size = static_cast<std::size_t>(std::strtoul(m_read.c_str(), nullptr, 16));
            while (m_read.size() < lineEnd + 2 + size + 2) {
                if (!fill(until))
                    return false;
            }
            message.body.append(m_read, lineEnd + 2, size);
            m_read.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    const std::string length = message.field("Content-Length");
    if (length.empty() && toEnd) {
        while (fill(until)) { }
        message.body = std::exchange(m_read, {});
        return true;
    }
    const auto size = static_cast<std::size_t>(std::strtoul(length.c_str(), nullptr, 10));
    while (m_read.size() < size) {
        if (!fill(until))
            return false;
    }
    message.body = m_read.substr(0, size);
    m_read.erase(0, size);
    return true;
}

bool Channel::isEnded()
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

void Channel::close()
{
    if (m_socket >= 0)
        ::close(std::exchange(m_socket, -1));
}

void Channel::reset()
{
    const linger hard{1, 0};
    if (m_socket >= 0)
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
}

Server::Server(const std::string &ip, Handler handler)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in own = socketAddress(ip);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(m_socket, 1024) != 0)
        std::exit(2);
    socklen_t size = sizeof own;
    ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&own), &size);
    m_address = ip.substr(0, ip.find(':')) + ':' + std::to_string(ntohs(own.sin_port));
    std::thread([handler = std::move(handler), listener = m_socket] {
        while (true) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int nodelay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
            std::thread([handler, accepted] {
                Channel channel(accepted);
                handler(channel);
            }).detach();
        }
    }).detach();
}

void Server::end()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

std::string answer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

Store::Store(const std::string &ip) : m_server(ip, [this](Channel &channel) { serve(channel); }) { }

void Store::append(const std::string &topicName, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    Topic &topic = m_topics[topicName];
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = {value, topic.log.size()};
    topic.log.push_back({key, value});
    m_changed.notify_all();
}

std::map<std::string, int> Store::calls()
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

void Store::serve(Channel &channel)
{
    Message request;
    while (channel.read(request, 60000)) {
        const std::string target = request.path();
        const std::string topic = parameter(target, "topic");
        {
            const std::lock_guard lock(m_mutex);
            ++m_calls[target.substr(0, target.find('?')) + ' ' + topic];
        }
        // A request line has two spaces.
        if (std::count(request.startLine.begin(), request.startLine.end(), ' ') != 2) {
            channel.write(answer(400, "Connection: close\r\n", "{}"));
            return;
        }
        sleepMs(4);
        std::string out;
        if (target.find("log-append") != std::string::npos) {
            std::string_view body = request.body;
            while (body.size() > 4) {
                std::size_t length = 0;
                for (const char byte : body.substr(0, 4))
                    length = length << 8 | static_cast<unsigned char>(byte);
                const std::string_view record = body.substr(4, length);
                const auto keyLength = static_cast<unsigned char>(record.front());
                append(topic, std::string(record.substr(1, keyLength)),
                       std::string(record.substr(1 + keyLength)));
                body.remove_prefix(4 + record.size());
            }
            out = answer(200, "", "{\"offset\":0,\"end\":1}");
        } else if (target.find("log-newest") != std::string::npos) {
            out = newestAnswer(topic, parameter(target, "after"));
        } else {
            out = readAnswer(topic, std::strtoull(parameter(target, "from").c_str(), nullptr, 10),
                             std::atol(parameter(target, "wait_ms").c_str()));
        }
        if (!channel.write(out))
            return;
    }
}

std::string Store::readAnswer(const std::string &topicName, std::uint64_t from, long waitMs)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                       [&] { return m_topics[topicName].log.size() > from; });
    const Topic &topic = m_topics[topicName];
    std::string body = bigEndian(topic.log.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < topic.log.size(); ++offset) {
        const Entry &entry = topic.log[offset];
        const std::string record = static_cast<char>(entry.key.size()) + entry.key + entry.value;
        if (offset > from && body.size() + record.size() > kMostPageBytes)
            break;
        body += bigEndian(record.size(), 4) + record;
    }
    return answer(200, "Content-Type: application/octet-stream\r\n", body);
}

std::string Store::newestAnswer(const std::string &topicName, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    const Topic &topic = m_topics[topicName];
    std::string items;
    std::size_t count = 0;
    auto next = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
    for (; next != topic.newest.end() && count < kMostItems; ++next, ++count) {
        std::string item = std::string(count > 0 ? "," : "") + R"({"key":")" + next->first
            + R"(","value":")" + base64(next->second.first) + R"(","offset":)"
            + std::to_string(next->second.second) + "}";
        if (count > 0 && items.size() + item.size() > kMostPageBytes)
            break;
        items += item;
    }
    return answer(200, "Content-Type: application/json\r\n",
                  R"({"items":[)" + items + R"(],"has_more":)"
                      + (next != topic.newest.end() ? "true" : "false") + R"(,"end":)"
                      + std::to_string(topic.log.size()) + "}");
}

Router::Router(int index, int routers, const std::string &folder, const std::string &store,
               int memoryMb)
    : m_routers(routers), m_ip(ipOf(index)), m_name("front-" + std::to_string(index)),
      m_folder(folder), m_store(store), m_memoryMb(memoryMb)
{ }

Router::~Router()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void Router::start(bool bootstrap)
{
    const std::string path = m_folder + '/' + m_name + ".toml";
    std::string seeds;
    for (int index = 0; index < std::min(3, m_routers); ++index)
        seeds += (index > 0 ? ", \"" : "\"") + ipOf(index) + ":8229\"";
    std::ofstream(path)
        << "node = \"" << m_name << "\"\nrole = \"router\"\nmachine_class = \"front\"\n"
        << "serves = [\"front\", \"control\"]\nip = \"" << m_ip
        << "\"\nzone = \"ub-north\"\nregion = \"ulaanbaatar\"\ninternal_ports = [7340, 7355]\n"
        << "seeds = [" << seeds << "]\nbootstrap = " << (bootstrap ? "true" : "false")
        << "\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
        << "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", "
           "\"engine\", \"stream\", \"tenants\", \"platform\"]\n"
        << "[zones]\nub-north = \"ulaanbaatar\"\n[listen]\nfront = \"" << m_ip
        << ":8227\"\nready = \"" << m_ip << ":8220\"\ncontrol = \"" << m_ip << ":8229\"\n"
        << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = " << m_memoryMb
        << "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
        << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\n"
           "ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
           "config_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\n"
           "retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 58\n"
           "recovery_s = 12\npass_ms = 120\nretry_after_s = 10\ncap_factor = 2\n"
        << "[platform]\naddress = \"" << m_store
        << "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\n"
           "append_ms = 2.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\n"
           "part_mb = 200\nmin_ttl_ms = 1000\n";
    const std::string log = m_folder + '/' + m_name + ".log";
    const std::string settings = "COMFREYLANDING_SETTINGS=" + path;
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if the script itself is ended.
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    char *const environment[] = {const_cast<char *>("LANG=C"), const_cast<char *>(settings.c_str()),
                                 nullptr};
    ::execle("target/platform/comfrey-node", "target/platform/comfrey-node", nullptr, environment);
    ::_exit(127);
}

void Router::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Router::hasEnded()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    m_lastEnd = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
}

bool Router::isReady() const
{
    Channel channel = Channel::connect(m_ip + ":8220");
    Message message;
    return channel.isOpen()
        && channel.write("GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
        && channel.read(message, 500) && message.status() == 200;
}

long Router::memoryMb() const
{
    if (m_pid <= 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) / (1 << 20);
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

void endWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

} // namespace stage
