// log-read, log-newest and log-append.
#include "standinstore.h"

namespace comfrey::soak {

using loopback::ServerConnection;

namespace {

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

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

void send(ServerConnection &connection, int status, const std::string &body)
{
    connection.write("HTTP/1.1 " + std::to_string(status)
                     + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

} // namespace

StandInStore::StandInStore(boost::asio::io_context &loop)
    : m_server(loop,
               [this](ServerConnection &connection, const ServerConnection::Request &request) {
                   onRequest(connection, request);
               })
{ }

void StandInStore::append(const std::string &topicName, const std::string &key,
                          const std::string &value)
{
    Topic &topic = m_topics[topicName];
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = {value, topic.end()};
    topic.history.push_back({key, value});
    if (m_fault == StoreFault::None)
        tick(loopback::now());
}

void StandInStore::compact()
{
    for (auto &[name, topic] : m_topics) {
        topic.firstKept = topic.end();
        topic.history.clear();
    }
}

void StandInStore::tick(TimePoint now)
{
    for (auto held = m_held.begin(); held != m_held.end();) {
        const auto connection = held->connection.lock();
        const Topic &topic = m_topics[held->topic];
        const bool isDue = now >= held->until || topic.end() > held->from;
        if (connection && !connection->isClosedByPeer()
            && !(isDue && m_fault == StoreFault::None)) {
            ++held;
            continue;
        }
        if (connection && !connection->isClosedByPeer())
            answerRead(*connection, topic, held->from);
        held = m_held.erase(held);
    }
}

void StandInStore::onRequest(ServerConnection &connection, const ServerConnection::Request &request)
{
    ++m_calls;
    switch (m_fault) {
    case StoreFault::None:
        break;
    case StoreFault::Silent:
        return;
    case StoreFault::Busy:
        send(connection, 503, "");
        return;
    case StoreFault::Reset:
        connection.reset();
        return;
    }
    const std::string &target = request.head.target;
    const std::string name = parameter(target, "topic");
    const Topic &topic = m_topics[name];
    if (target.find("log-append") != std::string::npos) {
        appendRecords(name, request.body);
        send(connection, 200, "{\"end\":" + std::to_string(topic.end()) + "}");
        return;
    }
    if (target.find("log-newest") != std::string::npos) {
        answerNewest(connection, topic);
        return;
    }
    const std::uint64_t from = std::stoull(parameter(target, "from"));
    const auto wait = milliseconds(std::stoll("0" + parameter(target, "wait_ms")));
    if (from == topic.end() && wait > Duration(0))
        m_held.push_back({connection.weak_from_this(), name, from, loopback::now() + wait});
    else
        answerRead(connection, topic, from);
}

void StandInStore::appendRecords(const std::string &topic, std::string_view body)
{
    while (body.size() > 4) {
        std::size_t length = 0;
        for (const char byte : body.substr(0, 4))
            length = length << 8 | static_cast<unsigned char>(byte);
        const std::string_view record = body.substr(4, length);
        const std::size_t keyLength = static_cast<unsigned char>(record.front());
        append(topic, std::string(record.substr(1, keyLength)),
               std::string(record.substr(1 + keyLength)));
        body.remove_prefix(4 + record.size());
    }
}

void StandInStore::answerRead(ServerConnection &connection, const Topic &topic, std::uint64_t from)
{
    if (from < topic.firstKept) {
        send(connection, 410, "{\"first\":" + std::to_string(topic.firstKept) + "}");
        return;
    }
    std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.firstKept, 8);
    for (std::uint64_t offset = from; offset < topic.end(); ++offset) {
        const Record &record = topic.history[offset - topic.firstKept];
        const std::string bytes = static_cast<char>(record.key.size()) + record.key + record.value;
        body += bigEndian(bytes.size(), 4) + bytes;
    }
    send(connection, 200, body);
}

void StandInStore::answerNewest(ServerConnection &connection, const Topic &topic)
{
    std::string items;
    for (const auto &[key, record] : topic.newest) {
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + base64(record.first) + R"(","offset":)"
            + std::to_string(record.second) + "}";
    }
    send(connection, 200,
         R"({"items":[)" + items + R"(],"has_more":false,"end":)" + std::to_string(topic.end())
             + "}");
}

} // namespace comfrey::soak
