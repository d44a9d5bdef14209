#include "standin-platform/logstore.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace comfrey::standin {

namespace {

constexpr double kBurstSeconds = 0.25; // of appends that may come at once
constexpr auto kOldReadPoll = std::chrono::milliseconds(20);

} // namespace

double LogStore::mostRights() const
{
    return std::max(1.0, m_limits.appendsPerSecond * kBurstSeconds);
}

bool LogStore::takeAppendRight(SteadyTime now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilled).count();
    m_appendRights = std::min(mostRights(), m_appendRights + seconds * m_limits.appendsPerSecond);
    m_refilled = now;
    if (m_appendRights < 1)
        return false;
    m_appendRights -= 1;
    return true;
}

std::optional<std::uint64_t> LogStore::append(const std::string &name, std::string payload)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    Stream &stream = m_streams[name];
    if (!takeAppendRight(now)) {
        ++stream.refused;
        return std::nullopt;
    }
    ++stream.appends;
    stream.bytesAppended += payload.size();
    const std::uint64_t offset = stream.end();
    stream.records.push_back(Record{std::move(payload), now});
    while (stream.records.size() > m_limits.recordsKept) {
        stream.records.pop_front();
        ++stream.first;
    }
    m_appended.notify_all();
    return offset;
}

std::uint64_t LogStore::visibleEnd(const Stream &stream, SteadyTime newest)
{
    std::uint64_t end = stream.end();
    while (end > stream.first && stream.records[end - stream.first - 1].time > newest)
        --end;
    return end;
}

nlohmann::json LogStore::read(const LogReadRequest &request)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + request.wait;
    std::unique_lock lock(m_mutex);
    Stream &stream = m_streams[request.stream];
    ++stream.reads;
    std::uint64_t end = 0;
    for (;;) {
        const SteadyTime now = std::chrono::steady_clock::now();
        end = visibleEnd(stream, request.isOld ? now - m_limits.oldReadAge : now);
        if (request.from < end || now >= deadline)
            break;
        m_appended.wait_until(lock,
                              request.isOld ? std::min(deadline, now + kOldReadPoll) : deadline);
    }
    nlohmann::json records = nlohmann::json::array();
    const std::uint64_t from = std::max(request.from, stream.first);
    for (std::uint64_t offset = from; offset < end && records.size() < request.limit; ++offset) {
        const Record &record = stream.records[offset - stream.first];
        stream.bytesRead += record.payload.size();
        records.push_back({{"offset", offset}, {"payload", record.payload}});
    }
    return {{"first", stream.first}, {"end", end}, {"records", std::move(records)}};
}

nlohmann::json LogStore::counters() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[name, stream] : m_streams) {
        result[name] = {{"appends", stream.appends},
                        {"refused", stream.refused},
                        {"reads", stream.reads},
                        {"bytes_appended", stream.bytesAppended},
                        {"bytes_read", stream.bytesRead},
                        {"first", stream.first},
                        {"end", stream.end()}};
    }
    return result;
}

} // namespace comfrey::standin
