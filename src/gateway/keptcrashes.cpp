// A crash that was read becomes the record by which its writer told the other routers of it, so
// that one that is known already changes nothing.
#include "gateway/keptcrashes.h"

#include <limits>
#include <memory>
#include <utility>

#include "gateway/crashupdates.h"
#include "gateway/flatbuffercodec.h"
#include "generated/routernews.generated.h"
#include "placement/ranking.h"

namespace comfrey {

namespace {

std::uint32_t millisecondsBetween(TimePoint from, TimePoint to)
{
    return from < to ? static_cast<std::uint32_t>((to - from).count() / 1000) : 0;
}

} // namespace

void KeptCrashes::onFindings(const std::vector<CrashFinding> &findings, std::uint64_t wallTime,
                             TimePoint now)
{
    for (const CrashFinding &finding : findings) {
        const std::size_t crashes = m_dispatcher.crashGuard().crashCount(finding.request);
        if (finding.incarnation.empty() || crashes == 0)
            continue;
        KeptCrash crash;
        crash.id = finding.request.value();
        crash.incarnation = finding.incarnation;
        const FeedRecord *published =
            m_feed.find(CrashUpdates::kTopic,
                        std::to_string(finding.request.value()) + ' ' + finding.incarnation);
        crash.crashedAtMs = published ? published->order : wallTime;
        crash.sentMsBefore = millisecondsBetween(finding.sentAt, now);
        crash.writer = m_dispatcher.crashAttribution().self();
        m_records.onCrash(crash, crashes > 1, now);
    }
}

void KeptCrashes::onRequestCleared(Fingerprint request, std::uint64_t clearedAtMs, TimePoint now)
{
    m_records.onCleared(CrashSubject::Request, request.value(), clearedAtMs, now);
}

void KeptCrashes::onVerdicts(const std::vector<PartVerdict> &verdicts, TimePoint now)
{
    for (const PartVerdict &verdict : verdicts) {
        if (verdict.isRefused) {
            m_refusedParts.insert(verdict.part);
            continue;
        }
        m_refusedParts.erase(verdict.part);
        // A verdict weighs all crashes that are known.
        m_records.onCleared(CrashSubject::PromptPart, verdict.part.value(),
                            std::numeric_limits<std::uint64_t>::max(), now);
    }
}

std::vector<StoredCrash> KeptCrashes::takeBatch(bool readsStore, std::uint64_t wallTime,
                                                TimePoint now)
{
    const CrashAttribution &attribution = m_dispatcher.crashAttribution();
    for (const PromptPartId part : std::exchange(m_refusedParts, {})) {
        for (const PartCrash &found : attribution.ownCrashes(part)) {
            KeptCrash crash;
            crash.subject = CrashSubject::PromptPart;
            crash.id = part.value();
            crash.incarnation = found.incarnation;
            crash.crashedAtMs = wallTime - millisecondsBetween(found.crashedAt, now);
            crash.sentMsBefore = millisecondsBetween(found.sentAt, found.crashedAt);
            crash.isFamiliar = found.isFamiliar;
            crash.writer = attribution.self();
            m_records.onCrash(crash, true, now);
        }
    }
    return m_records.takeBatch(readsStore, now);
}

void KeptCrashes::onWritten(std::size_t records, CrashWrite outcome, const std::string &problem,
                            TimePoint now)
{
    m_records.onWritten(outcome, now);
    m_metrics.count("comfrey_crash_store_writes_total",
                    outcome == CrashWrite::Written       ? "outcome=\"written\""
                        : outcome == CrashWrite::Refused ? "outcome=\"refused\""
                                                         : "outcome=\"failed\"");
    m_metrics.set("comfrey_crash_records_refused", static_cast<double>(m_records.refusedCount()));
    m_metrics.set("comfrey_crash_records_omitted", static_cast<double>(m_records.omittedCount()));
    LogLine line(m_log, outcome == CrashWrite::Written ? "crashes-kept" : "crashes-not-kept", now);
    line.add("records", static_cast<std::int64_t>(records));
    if (outcome != CrashWrite::Written)
        line.add("reason", problem).add("repeated", outcome == CrashWrite::Failed ? "yes" : "no");
}

bool KeptCrashes::onRead(const std::vector<StoredCrash> &records, std::uint64_t wallTime,
                         TimePoint now)
{
    const CrashRecall recall = m_records.recall(records, wallTime, now);
    const std::uint64_t before = m_feed.number();
    for (const RecalledCrash &recalled : recall.crashes) {
        if (recalled.crash.subject == CrashSubject::Request)
            recallRequest(recalled, now);
        else
            recallPart(recalled, now);
    }
    LogLine(m_log, "crashes-recalled", now)
        .add("crashes", static_cast<std::int64_t>(recall.crashes.size()))
        .add("expired", static_cast<std::int64_t>(recall.expired))
        .add("unreadable", static_cast<std::int64_t>(recall.unreadable))
        .add("dropped", static_cast<std::int64_t>(recall.dropped));
    m_metrics.set("comfrey_crashes_recalled", static_cast<double>(recall.crashes.size()));
    return m_feed.number() != before;
}

void KeptCrashes::recallRequest(const RecalledCrash &recalled, TimePoint now)
{
    const KeptCrash &crash = recalled.crash;
    const std::string request = std::to_string(crash.id);
    const FeedRecord *cleared = m_feed.find(CrashUpdates::kTopic, request);
    if (cleared && cleared->order >= crash.crashedAtMs)
        return;
    m_feed.put({CrashUpdates::kTopic, request + ' ' + crash.incarnation, std::string(),
                crash.crashedAtMs, now - recalled.age});
}

void KeptCrashes::recallPart(const RecalledCrash &recalled, TimePoint now)
{
    const KeptCrash &crash = recalled.crash;
    const std::string key = encode(crash).key;
    wire::PromptCrashT report;
    report.server = crash.incarnation;
    report.router = crash.writer;
    auto candidate = std::make_unique<wire::CrashCandidateT>();
    // The request itself is not known. Another one for each crash explains no two of them.
    candidate->request = hashOf(key);
    candidate->parts = {crash.id};
    candidate->familiar = {crash.isFamiliar};
    candidate->sentMsBefore = crash.sentMsBefore;
    report.candidates.push_back(std::move(candidate));
    m_feed.put({PromptCrashUpdates::kCrashTopic, key, encodeFlatBuffer<wire::PromptCrash>(report),
                crash.crashedAtMs, now - recalled.age});
}

} // namespace comfrey
