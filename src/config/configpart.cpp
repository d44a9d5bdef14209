// The two lists: follows the stream "config" and passes it on between routers.
#include "config/configpart.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

constexpr std::uint32_t kBackoffLimit = 5; // Doublings of the poll interval after failed reads.
constexpr Duration kReadLimit = milliseconds(15000); // A read without an answer counts as lost.

const StreamId &configStream()
{
    static const StreamId stream("config");
    return stream;
}

} // namespace

ConfigPart::ConfigPart(const PartContext &context) : m_context(context) { }

void ConfigPart::onEvent(const Event &event, TimePoint now, Outbox &out)
{
    if (const auto *read = std::get_if<LogRead>(&event)) {
        if (read->stream == configStream())
            onLogRead(*read, now, out);
    } else if (const auto *failed = std::get_if<LogReadFailed>(&event)) {
        if (failed->stream == configStream())
            onReadFailed(now);
    }
    readWhenDue(now, out);
}

void ConfigPart::onLogRead(const LogRead &read, TimePoint now, Outbox &out)
{
    const LogOffset before = m_follower.next();
    noteResults(m_follower.take(read), out);
    m_reading = false;
    m_failures = 0;
    const bool advanced = m_follower.next() != before;
    m_readAt = advanced ? now : now + milliseconds(m_context.settings.config.pollIntervalMs);
}

void ConfigPart::onReadFailed(TimePoint now)
{
    m_reading = false;
    m_failures = std::min(m_failures + 1, kBackoffLimit);
    m_readAt = now + milliseconds(m_context.settings.config.pollIntervalMs) * (1U << m_failures);
}

void ConfigPart::readWhenDue(TimePoint now, Outbox &out)
{
    if (now < m_readAt)
        return;
    m_reading = true;
    m_readAt = now + kReadLimit;
    out.push(ReadLog{configStream(), m_follower.next(), true});
}

void ConfigPart::noteResults(const std::vector<FoldResult> &results, Outbox &out)
{
    for (const FoldResult &result : results) {
        if (result.kind == FoldKind::Refused || result.kind == FoldKind::Skipped)
            out.push(WriteLogLine{Severity::Warning, "config-record-refused",
                                  "offset=" + std::to_string(result.offset.value()) + " change="
                                      + result.change.value() + " reason=\"" + result.text + "\""});
    }
    if (lists().revision == m_indexedRevision)
        return;
    rebuildIndex();
    out.push(WriteLogLine{Severity::Info, "config-in-force",
                          "revision=" + std::to_string(lists().revision.value())});
}

void ConfigPart::rebuildIndex()
{
    m_indexedRevision = lists().revision;
    m_owners.clear();
    for (const auto &[customer, entry] : lists().plans) {
        for (const ApiKeyHash &key : entry.keys)
            m_owners.emplace(key, customer);
    }
}

TimePoint ConfigPart::nextWakeUp() const
{
    return m_readAt;
}

void ConfigPart::dump(nlohmann::json &out, TimePoint now) const
{
    (void)now;
    out["revision"] = lists().revision.value();
    out["offset"] = offset().value();
    out["loaded"] = isLoaded();
    out["routers"][m_context.settings.router.id] = {{"revision", lists().revision.value()},
                                                    {"offset", offset().value()}};
}

const PlanEntry *ConfigPart::customerOf(const ApiKeyHash &key) const
{
    const auto owner = m_owners.find(key);
    return owner == m_owners.end() ? nullptr : &lists().plans.at(owner->second);
}

} // namespace comfrey
