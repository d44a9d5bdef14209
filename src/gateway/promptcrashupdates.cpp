// Times in records are relative to the record's own, since the routers' clocks differ.
#include "gateway/promptcrashupdates.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>

#include "gateway/flatbuffercodec.h"
#include "generated/routernews.generated.h"

namespace comfrey {

namespace {

std::uint32_t millisecondsBefore(TimePoint time, TimePoint now)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        (now - time).count() / 1000, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::string hexadecimal(PromptPartId part)
{
    char text[17];
    std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(part.value()));
    return text;
}

std::unique_ptr<wire::CrashCandidateT> toWire(const CrashFinding &finding,
                                              const CrashAttribution &attribution, TimePoint now)
{
    auto candidate = std::make_unique<wire::CrashCandidateT>();
    candidate->request = finding.request.value();
    const std::size_t parts =
        std::min(finding.suspectParts.size(), CrashAttribution::kMaxPartsPerCandidate);
    for (std::size_t index = 0; index < parts; ++index) {
        const PromptPartId part = finding.suspectParts[index];
        candidate->parts.push_back(part.value());
        candidate->familiar.push_back(attribution.isFamiliar(part));
    }
    candidate->sentMsBefore = millisecondsBefore(finding.sentAt, now);
    return candidate;
}

CrashReport fromWire(const wire::PromptCrashT &crash, TimePoint recordedAt)
{
    CrashReport report;
    report.incarnation = crash.server;
    report.reporter = crash.router;
    report.crashedAt = recordedAt - milliseconds(crash.crashedMsBefore);
    for (const auto &wireCandidate : crash.candidates) {
        CrashCandidate candidate;
        candidate.request = Fingerprint(wireCandidate->request);
        candidate.sentAt = recordedAt - milliseconds(wireCandidate->sentMsBefore);
        for (std::size_t index = 0; index < wireCandidate->parts.size(); ++index)
            candidate.parts.push_back(
                {PromptPartId(wireCandidate->parts[index]),
                 index < wireCandidate->familiar.size() && wireCandidate->familiar[index]});
        report.candidates.push_back(std::move(candidate));
    }
    return report;
}

} // namespace

bool PromptCrashUpdates::publish(const std::vector<CrashFinding> &findings, std::uint64_t wallTime,
                                 TimePoint now)
{
    const CrashAttribution &attribution = m_dispatcher.crashAttribution();
    std::map<std::string, wire::PromptCrashT> crashes;
    for (const CrashFinding &finding : findings) {
        if (finding.suspectParts.empty())
            continue;
        wire::PromptCrashT &crash = crashes[finding.incarnation];
        if (crash.candidates.size() >= CrashAttribution::kMaxCandidates)
            continue;
        crash.server = finding.incarnation;
        crash.router = attribution.self();
        crash.crashedMsBefore =
            std::max(crash.crashedMsBefore, millisecondsBefore(now - finding.detectionDelay, now));
        crash.candidates.push_back(toWire(finding, attribution, now));
    }
    for (const auto &[incarnation, crash] : crashes) {
        const std::string key =
            incarnation + ' ' + attribution.self() + ' ' + std::to_string(++m_reportCount);
        m_feed.put({kCrashTopic, key, encodeFlatBuffer<wire::PromptCrash>(crash), wallTime, now});
    }
    const std::vector<SoundAnswer> answers = m_dispatcher.crashAttribution().takeSoundAnswers();
    for (const SoundAnswer &answer : answers)
        publishSoundAnswer(answer, wallTime, now);
    return !crashes.empty() || !answers.empty();
}

void PromptCrashUpdates::publishSoundAnswer(const SoundAnswer &answer, std::uint64_t wallTime,
                                            TimePoint now)
{
    wire::SoundPartT sound;
    sound.part = answer.part.value();
    sound.begunMsBefore = millisecondsBefore(answer.begunAt, now);
    const std::string key = hexadecimal(answer.part) + ' ' + m_dispatcher.crashAttribution().self();
    // The clock may have gone back since the last record of the key.
    const FeedRecord *previous = m_feed.find(kSoundTopic, key);
    const std::uint64_t order = previous ? std::max(wallTime, previous->order + 1) : wallTime;
    m_feed.put({kSoundTopic, key, encodeFlatBuffer<wire::SoundPart>(sound), order, now});
    LogLine(m_log, "prompt-part-sound", now)
        .add("part", hexadecimal(answer.part))
        .add("answering", now - answer.begunAt);
}

void PromptCrashUpdates::apply(const FeedRecord &record, TimePoint now)
{
    const bool isCrash = record.topic == kCrashTopic;
    if ((!isCrash && record.topic != kSoundTopic) || !record.value)
        return;
    const TimePoint recordedAt = record.readAt == TimePoint::min() ? now : record.readAt;
    if (isCrash)
        applyCrash(record, recordedAt, now);
    else
        applySoundAnswer(record, recordedAt, now);
}

void PromptCrashUpdates::applyCrash(const FeedRecord &record, TimePoint recordedAt, TimePoint now)
{
    const auto crash = decodeFlatBuffer<wire::PromptCrash>(*record.value);
    if (!crash) {
        LogLine(m_log, "crash-unreadable", now).add("key", record.key);
        return;
    }
    m_dispatcher.crashAttribution().recordCrash(fromWire(*crash, recordedAt));
    LogLine(m_log, "prompt-crash-reported", now)
        .add("server", crash->server)
        .add("by", crash->router)
        .add("candidates", static_cast<std::int64_t>(crash->candidates.size()))
        .add("age", now - recordedAt);
}

void PromptCrashUpdates::applySoundAnswer(const FeedRecord &record, TimePoint recordedAt,
                                          TimePoint now)
{
    const auto sound = decodeFlatBuffer<wire::SoundPart>(*record.value);
    if (!sound) {
        LogLine(m_log, "crash-unreadable", now).add("key", record.key);
        return;
    }
    m_dispatcher.crashAttribution().onRemoteSoundAnswer(
        {PromptPartId(sound->part), recordedAt - milliseconds(sound->begunMsBefore)});
}

std::vector<PartVerdict> PromptCrashUpdates::update(TimePoint now)
{
    std::vector<PartVerdict> verdicts = m_dispatcher.updateCrashAttribution(now);
    for (const PartVerdict &verdict : verdicts) {
        LogLine(m_log, verdict.isRefused ? "prompt-part-refused" : "prompt-part-accepted", now)
            .add("part", hexadecimal(verdict.part))
            .add("crashes", static_cast<std::int64_t>(verdict.crashes))
            .add("refused_for",
                 m_dispatcher.crashAttribution().remainingRefusal({verdict.part}, now));
        if (verdict.isRefused)
            m_metrics.count("comfrey_prompt_parts_refused_total");
    }
    return verdicts;
}

void PromptCrashUpdates::dropExpired(std::uint64_t wallTime)
{
    const auto retention =
        static_cast<std::uint64_t>(CrashAttribution::kCrashRetention.count() / 1000);
    m_feed.dropOlderThan(kCrashTopic, wallTime - retention);
    m_feed.dropOlderThan(kSoundTopic, wallTime - retention);
}

} // namespace comfrey
