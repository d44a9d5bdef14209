// A fake of the platform's log.
#include "support/fakelog.h"

#include <algorithm>

namespace comfrey::test {

namespace {

constexpr std::size_t kRecordsPerRead = 256;
constexpr Duration kLongPoll = milliseconds(1000);
constexpr Duration kRateWindow = milliseconds(1000);

} // namespace

bool FakeLog::happens(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

bool FakeLog::takeFromRate()
{
    const TimePoint now = m_queue.now();
    while (!m_recentAppends.empty() && m_recentAppends.front() + kRateWindow <= now)
        m_recentAppends.pop_front();
    if (m_recentAppends.size() >= m_appendRate)
        return false;
    m_recentAppends.push_back(now);
    return true;
}

void FakeLog::append(const StreamId &stream, const Bytes &payload, AppendAnswer answer)
{
    m_queue.after(m_faults.delay / 2, [this, stream, payload, answer = std::move(answer)] {
        const auto reply = [this, answer](AppendResult result, LogOffset offset) {
            m_queue.after(m_faults.delay / 2, [answer, result, offset] { answer(result, offset); });
        };
        if (m_faults.down || !takeFromRate())
            return reply(AppendResult::Refused, LogOffset());
        if (happens(m_faults.losesAppends))
            return reply(AppendResult::Lost, LogOffset());
        if (happens(m_faults.lateAppends)) {
            m_queue.after(m_faults.lateBy, [this, stream, payload] { appendNow(stream, payload); });
            return reply(AppendResult::Lost, LogOffset());
        }
        const LogOffset offset = appendNow(stream, payload);
        if (happens(m_faults.doublesAppends))
            appendNow(stream, payload);
        if (happens(m_faults.loseAnswers))
            return reply(AppendResult::Lost, LogOffset());
        reply(AppendResult::Accepted, offset);
    });
}

LogOffset FakeLog::appendNow(const StreamId &stream, const Bytes &payload)
{
    Stream &target = m_streams[stream];
    const LogOffset offset(target.next++);
    target.records.push_back({offset, m_queue.now(), payload});
    if (target.records.size() > m_retention)
        target.records.pop_front();
    StreamCounts &count = m_counts[stream];
    ++count.appends;
    count.appendedBytes += payload.size();
    release(stream);
    return offset;
}

LogRead FakeLog::visible(const StreamId &stream, LogOffset from, TimePoint upTo) const
{
    LogRead read;
    read.stream = stream;
    read.firstOffset = LogOffset(1);
    read.endOffset = LogOffset(1);
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return read;
    const Stream &source = found->second;
    const auto &records = source.records;
    const auto end =
        std::partition_point(records.begin(), records.end(),
                             [upTo](const Stored &stored) { return stored.appendedAt <= upTo; });
    read.endOffset = end == records.end() ? LogOffset(source.next) : end->offset;
    read.firstOffset = records.empty() ? read.endOffset : records.front().offset;
    auto at =
        std::lower_bound(records.begin(), end, from, [](const Stored &stored, LogOffset offset) {
            return stored.offset < offset;
        });
    for (; at != end && read.records.size() < kRecordsPerRead; ++at)
        read.records.push_back({at->offset, at->payload});
    return read;
}

LogRead FakeLog::readNow(const StreamId &stream, LogOffset from) const
{
    return visible(stream, from, m_queue.now());
}

void FakeLog::read(const StreamId &stream, LogOffset from, bool wait, ReadAnswer answer)
{
    m_queue.after(m_faults.delay / 2, [this, stream, from, wait, answer = std::move(answer)] {
        const LogRead present = visible(stream, from, m_queue.now() - m_faults.oldReads);
        if (wait && !m_faults.down && present.records.empty() && present.firstOffset <= from)
            return hold(stream, from, answer);
        answerRead(stream, from, answer);
    });
}

void FakeLog::answerRead(const StreamId &stream, LogOffset from, const ReadAnswer &answer)
{
    std::optional<LogRead> read;
    if (!m_faults.down) {
        read = visible(stream, from, m_queue.now() - m_faults.oldReads);
        StreamCounts &count = m_counts[stream];
        ++count.reads;
        for (const LogRecord &record : read->records)
            count.readBytes += record.payload.size();
    }
    m_queue.after(m_faults.delay / 2, [answer, read = std::move(read)] { answer(read); });
}

void FakeLog::hold(const StreamId &stream, LogOffset from, ReadAnswer answer)
{
    const std::uint64_t id = ++m_lastWaiting;
    m_streams[stream].waiting.push_back({id, from, std::move(answer)});
    m_queue.after(kLongPoll, [this, stream, id] { expire(stream, id); });
}

void FakeLog::release(const StreamId &stream)
{
    const auto waiting = std::exchange(m_streams[stream].waiting, {});
    for (const Waiting &reader : waiting) {
        m_queue.after(m_faults.oldReads,
                      [this, stream, reader] { answerRead(stream, reader.from, reader.answer); });
    }
}

void FakeLog::expire(const StreamId &stream, std::uint64_t id)
{
    auto &waiting = m_streams[stream].waiting;
    const auto found = std::find_if(waiting.begin(), waiting.end(),
                                    [id](const Waiting &reader) { return reader.id == id; });
    if (found == waiting.end())
        return;
    const Waiting reader = std::move(*found);
    waiting.erase(found);
    answerRead(stream, reader.from, reader.answer);
}

} // namespace comfrey::test
